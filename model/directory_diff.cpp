#include "model/directory_diff.h"

#include "core/duration_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <tuple>
#include <utility>

namespace boragelug
{
namespace
{

constexpr const char *noValue = "none";

/// An entry in both catalogues, or in one of them.
using EntryPair = std::pair<const EntryRecord *, const EntryRecord *>;
using EntryList = std::vector<const EntryRecord *>;

/// The entries that VMs use, sorted by address.
EntryList usedEntries(const CatalogueRecord &catalogue)
{
    std::map<Endpoint, const EntryRecord *> byAddress;
    for (const EntryRecord &entry : catalogue.entries) {
        byAddress[entry.address] = &entry;
    }
    EntryList entries;
    for (const auto &[address, entry] : byAddress) {
        entries.push_back(entry);
    }
    return entries;
}

/// Moves entries with the same key from both lists to @p pairs. Those whose key is not unique in a list stay.
template<class KeyOf>
void matchEntries(EntryList &before, EntryList &after, const KeyOf &keyOf, std::vector<EntryPair> &pairs)
{
    using Key = decltype(keyOf(std::declval<const EntryRecord &>()));
    std::map<Key, std::pair<EntryList, EntryList>> byKey;
    for (const EntryRecord *entry : before) {
        byKey[keyOf(*entry)].first.push_back(entry);
    }
    for (const EntryRecord *entry : after) {
        byKey[keyOf(*entry)].second.push_back(entry);
    }
    before.clear();
    after.clear();
    for (const auto &[key, entries] : byKey) {
        const auto &[old, current] = entries;
        if (old.size() == 1 && current.size() == 1) {
            pairs.emplace_back(old.front(), current.front());
            continue;
        }
        before.insert(before.end(), old.begin(), old.end());
        after.insert(after.end(), current.begin(), current.end());
    }
}

std::vector<EntryPair> pairEntries(const CatalogueRecord &before, const CatalogueRecord &after)
{
    EntryList old = usedEntries(before);
    EntryList current = usedEntries(after);
    std::vector<EntryPair> pairs;
    const auto name = [](const EntryRecord &entry) { return entry.name.value; };
    const auto address = [](const EntryRecord &entry) { return entry.address; };
    matchEntries(
        old, current, [&](const EntryRecord &entry) { return std::pair(name(entry), address(entry)); }, pairs);
    // Entries without a name are told apart by their addresses only.
    matchEntries(
        old,
        current,
        [&](const EntryRecord &entry) {
            return std::pair(name(entry), name(entry).empty() ? address(entry) : Endpoint {});
        },
        pairs);
    matchEntries(old, current, address, pairs);
    for (const EntryRecord *entry : old) {
        pairs.emplace_back(entry, nullptr);
    }
    for (const EntryRecord *entry : current) {
        pairs.emplace_back(nullptr, entry);
    }
    const auto place = [](const EntryPair &pair) {
        const EntryRecord &entry = pair.second == nullptr ? *pair.first : *pair.second;
        // A removed entry precedes an added one of the same name and address.
        return std::tuple(entry.name.value, entry.address, pair.second != nullptr);
    };
    std::sort(pairs.begin(), pairs.end(), [&](const auto &a, const auto &b) { return place(a) < place(b); });
    return pairs;
}

std::string optionalText(Duration duration)
{
    return duration == Duration::zero() ? noValue : durationText(duration);
}

std::string numberText(double number)
{
    std::array<char, 32> text {};
    const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() ? std::string(text.data(), end) : "";
}

/// Services in the order of their names, with the sum of the weights of each; a single one has no weight.
std::string servicesText(const std::vector<ServiceShare> &shares)
{
    std::map<std::string, std::uint64_t> weights;
    for (const ServiceShare &share : shares) {
        weights[share.service] += share.weight;
    }
    std::string text;
    for (const auto &[service, weight] : weights) {
        text += text.empty() ? "" : ",";
        text += service + (weights.size() == 1 ? "" : ':' + std::to_string(weight));
    }
    return text;
}

/// One field of an entry as text, and what its change means for running work.
struct EntryField
{
    const char *name;
    std::string (*text)(const EntryRecord &);
    ChangeImpact impact;
    const char *effect;
};

const std::array<EntryField, 7> entryFields { {
    { "address",
      [](const EntryRecord &entry) { return toString(entry.address); },
      ChangeImpact::BreaksWork,
      "Open flows to the old address are refused; callers must reconnect." },
    { "services",
      [](const EntryRecord &entry) { return servicesText(entry.services); },
      ChangeImpact::NewWork,
      "New flows go to the new services by their weights." },
    { "idempotent",
      [](const EntryRecord &entry) { return std::string(entry.idempotent ? "true" : "false"); },
      ChangeImpact::NewWork,
      "Open flows to silent upstreams are reset only if requests may be repeated." },
    { "latency_objective",
      [](const EntryRecord &entry) { return optionalText(entry.latencyObjective); },
      ChangeImpact::NewWork,
      "Waiting and stalled requests are judged by the new objective." },
    { "timeout", [](const EntryRecord &entry) { return optionalText(entry.timeout); }, ChangeImpact::None, "" },
    { "priority",
      [](const EntryRecord &entry) { return std::to_string(entry.priority); },
      ChangeImpact::NewWork,
      "Under saturation, requests are served in the new order." },
    { "name", [](const EntryRecord &entry) { return entry.name.value; }, ChangeImpact::None, "" },
} };

bool losesService(const EntryRecord &before, const EntryRecord &after)
{
    return std::any_of(before.services.begin(), before.services.end(), [&](const ServiceShare &share) {
        return std::none_of(after.services.begin(), after.services.end(), [&](const ServiceShare &other) {
            return other.service == share.service;
        });
    });
}

void addEffect(CatalogueChange &change, ChangeImpact impact, const char *effect)
{
    change.impact = std::max(change.impact, impact);
    if (*effect != '\0') {
        change.effects.emplace_back(effect);
    }
}

CatalogueChange compareEntries(const EntryPair &pair, const std::map<std::string, std::size_t> &names)
{
    const auto &[old, current] = pair;
    const EntryRecord &shown = current == nullptr ? *old : *current;
    CatalogueChange change;
    change.item = "entry";
    change.name = shown.name.value;
    if (change.name.empty()) {
        change.name = toString(shown.address);
    } else if (names.at(change.name) > 1) {
        change.name += '@' + toString(shown.address);
    }
    for (const EntryField &field : entryFields) {
        const std::string before = old == nullptr ? "" : field.text(*old);
        const std::string after = current == nullptr ? "" : field.text(*current);
        if (before == after) {
            continue;
        }
        change.fields.push_back({ field.name, before, after });
        if (old != nullptr && current != nullptr) {
            addEffect(change, field.impact, field.effect);
        }
    }
    if (old == nullptr) {
        change.kind = ChangeKind::Added;
        addEffect(change, ChangeImpact::NewWork, "Callers can use its address.");
    } else if (current == nullptr) {
        change.kind = ChangeKind::Removed;
        addEffect(change, ChangeImpact::BreaksWork, "Its open flows are refused from now on.");
    } else if (losesService(*old, *current)) {
        addEffect(change, ChangeImpact::BreaksWork, "Open flows to the services that it no longer names are refused.");
    }
    return change;
}

/// How often each name occurs, in the catalogue in which it occurs more often.
std::map<std::string, std::size_t> countNames(const CatalogueRecord &before, const CatalogueRecord &after)
{
    std::map<std::string, std::size_t> most;
    for (const CatalogueRecord *catalogue : { &before, &after }) {
        std::map<std::string, std::size_t> names;
        for (const EntryRecord *entry : usedEntries(*catalogue)) {
            const std::size_t count = ++names[entry->name.value];
            most[entry->name.value] = std::max(most[entry->name.value], count);
        }
    }
    return most;
}

void compareSlowStart(const CatalogueRecord &before,
                      const CatalogueRecord &after,
                      std::vector<CatalogueChange> &changes)
{
    std::map<std::string, std::pair<const ServiceRecord *, const ServiceRecord *>> services;
    for (const ServiceRecord &service : before.services) {
        services[service.name].first = &service;
    }
    for (const ServiceRecord &service : after.services) {
        services[service.name].second = &service;
    }
    const auto start = [](const ServiceRecord *service) {
        return service == nullptr ? noValue : optionalText(service->coldStart);
    };
    const auto rate = [](const ServiceRecord *service) {
        return service == nullptr ? noValue : numberText(service->coldRequestsPerSecond);
    };
    for (const auto &[name, versions] : services) {
        const auto &[old, current] = versions;
        CatalogueChange change;
        change.item = "service";
        change.name = name;
        if (start(old) != start(current)) {
            change.fields.push_back({ "cold_start", start(old), start(current) });
        }
        if (rate(old) != rate(current)) {
            change.fields.push_back({ "cold_requests_per_second", rate(old), rate(current) });
        }
        if (!change.fields.empty()) {
            addEffect(change, ChangeImpact::NewWork, "Cold upstreams get new requests by the new limit.");
            changes.push_back(std::move(change));
        }
    }
}

} // namespace

CatalogueDiff diffDirectoryCatalogues(const CatalogueRecord &before, const CatalogueRecord &after)
{
    CatalogueDiff diff { after.version > before.version, {} };
    const auto names = countNames(before, after);
    for (const EntryPair &pair : pairEntries(before, after)) {
        CatalogueChange change = compareEntries(pair, names);
        if (!change.fields.empty()) {
            diff.changes.push_back(std::move(change));
        }
    }
    compareSlowStart(before, after, diff.changes);
    if (before.flowIdleTimeout != after.flowIdleTimeout) {
        const auto text = [](const std::optional<Duration> &idle) { return idle ? durationText(*idle) : noValue; };
        CatalogueChange change;
        change.item = "flows";
        change.name = "all";
        change.fields.push_back({ "idle_timeout", text(before.flowIdleTimeout), text(after.flowIdleTimeout) });
        addEffect(change, ChangeImpact::NewWork, "Flows without packets for longer may be forgotten.");
        diff.changes.push_back(std::move(change));
    }
    return diff;
}

} // namespace boragelug
