#include "model/catalogue_diff.h"

#include "core/duration_text.h"
#include "model/catalogue_text.h"

#include <algorithm>
#include <map>

namespace boragelug
{

namespace
{

/// Adds field changes and effects to one change.
class ChangeBuilder
{
public:
    explicit ChangeBuilder(CatalogueChange &change)
        : change_(change)
    { }

    /// Records the field if it differs and then returns true.
    bool field(const char *name, std::string before, std::string after)
    {
        if (before == after) {
            return false;
        }
        change_.fields.push_back({ name, std::move(before), std::move(after) });
        return true;
    }

    bool field(const char *name, std::uint64_t before, std::uint64_t after)
    {
        return field(name, std::to_string(before), std::to_string(after));
    }

    void effect(ChangeImpact impact, std::string text)
    {
        change_.impact = std::max(change_.impact, impact);
        change_.effects.push_back(std::move(text));
    }

private:
    CatalogueChange &change_;
};

using ServiceNames = std::map<ServiceId, std::string>;

ServiceNames serviceNames(const Catalogue &catalogue)
{
    ServiceNames names;
    for (const Service &service : catalogue.services) {
        names.emplace(service.id, service.name);
    }
    return names;
}

std::string nameOf(ServiceId service, const ServiceNames &names)
{
    const auto found = names.find(service);
    return found == names.end() ? std::to_string(service.value) : found->second;
}

std::string yesNo(bool value)
{
    return value ? "true" : "false";
}

void compareZones(const Zone &before, const Zone &after, ChangeBuilder &builder)
{
    if (builder.field("id", before.id.value, after.id.value)) {
        builder.effect(ChangeImpact::BreaksWork,
                       "VMs and upstreams that the platform lists under the old number lose their zone.");
    }
    if (builder.field("region", before.region, after.region)) {
        builder.effect(ChangeImpact::BreaksWork,
                       "The zone's VMs leave the old region, and its flows lose their owners.");
    }
}

void compareServices(const Service &before, const Service &after, ChangeBuilder &builder)
{
    if (builder.field("id", before.id.value, after.id.value)) {
        builder.effect(ChangeImpact::BreaksWork,
                       "The VNI changes: open flows of the service are refused, and hosts that still expect the old "
                       "VNI drop all packets.");
    }
    if (builder.field("slots_per_host", before.slotsPerHost, after.slotsPerHost)) {
        builder.effect(ChangeImpact::NewWork,
                       after.slotsPerHost < before.slotsPerHost
                           ? "Fewer requests run on each host at once; those in progress finish."
                           : "More requests run on each host at once.");
    }
    if (builder.field("connections_per_host", before.connectionsPerHost, after.connectionsPerHost)) {
        builder.effect(ChangeImpact::NewWork,
                       after.connectionsPerHost < before.connectionsPerHost
                           ? "Hosts above the new number of connections get no new flows; open flows stay."
                           : "Each host takes more flows.");
    }
    if (builder.field("slow_start", durationText(before.slowStart), durationText(after.slowStart))) {
        builder.effect(ChangeImpact::NewWork, "Hosts that start from now on ramp up over the new time.");
    }
}

void compareLimit(const char *name, std::uint64_t before, std::uint64_t after, ChangeBuilder &builder)
{
    if (!builder.field(name, before, after)) {
        return;
    }
    const std::string field(name);
    if (after == 0) {
        builder.effect(ChangeImpact::NewWork, field + " is no longer limited.");
    } else if (before != 0 && after > before) {
        builder.effect(ChangeImpact::NewWork, field + " is raised; VMs use it once all agree on the new view.");
    } else {
        builder.effect(ChangeImpact::NewWork,
                       field
                           + " is lowered; new work above it is refused at once, and open flows and requests in "
                             "progress go on.");
    }
}

void compareLimits(const Limits &before, const Limits &after, ChangeBuilder &builder)
{
    compareLimit("limits.requests_per_second", before.requestsPerSecond, after.requestsPerSecond, builder);
    compareLimit("limits.requests_in_progress", before.requestsInProgress, after.requestsInProgress, builder);
    compareLimit("limits.new_flows_per_second", before.newFlowsPerSecond, after.newFlowsPerSecond, builder);
    compareLimit("limits.open_flows", before.openFlows, after.openFlows, builder);
    compareLimit("limits.bytes_per_second", before.bytesPerSecond, after.bytesPerSecond, builder);
}

void comparePolicy(const Entry &before, const Entry &after, ChangeBuilder &builder)
{
    if (builder.field("importance",
                      std::string(wordFor(importanceWords, before.importance)),
                      std::string(wordFor(importanceWords, after.importance)))) {
        builder.effect(ChangeImpact::NewWork,
                       after.importance < before.importance
                           ? "The entry is served before more of the others under saturation."
                           : "The entry is served after more of the others under saturation.");
    }
    if (builder.field("prefer",
                      std::string(wordFor(preferenceWords, before.prefer)),
                      std::string(wordFor(preferenceWords, after.prefer)))) {
        builder.effect(ChangeImpact::NewWork,
                       after.prefer == Preference::EvenLoad
                           ? "New flows keep two copies of their table entry instead of three."
                           : "New flows keep three copies of their table entry instead of two.");
    }
    if (builder.field("allow_spill", yesNo(before.allowSpill), yesNo(after.allowSpill))) {
        builder.effect(ChangeImpact::NewWork,
                       after.allowSpill ? "New work may go to another zone when the local one is full."
                                        : "New work is refused when the local zone is full.");
    }
    if (builder.field("max_deadline", durationText(before.maxDeadline), durationText(after.maxDeadline))) {
        builder.effect(ChangeImpact::NewWork, "New requests are bounded by the new deadline.");
    }
}

void compareEntries(const Entry &before,
                    const Entry &after,
                    const std::pair<ServiceNames, ServiceNames> &names,
                    ChangeBuilder &builder)
{
    if (builder.field("owner", before.owner.value, after.owner.value)) {
        builder.effect(ChangeImpact::NewWork, "Queues and use are counted for the new owner.");
    }
    if (builder.field("service", nameOf(before.service, names.first), nameOf(after.service, names.second))) {
        builder.effect(ChangeImpact::BreaksWork,
                       "Open flows of the entry are refused, because they belong to the old service.");
    }
    if (builder.field("address", toString(before.address), toString(after.address))) {
        builder.effect(ChangeImpact::BreaksWork, "Open flows to the old address are refused; callers must reconnect.");
    }
    if (builder.field("kind",
                      std::string(wordFor(entryKindWords, before.kind)),
                      std::string(wordFor(entryKindWords, after.kind)))) {
        builder.effect(ChangeImpact::BreaksWork, "Open flows or queued requests of the old kind are refused.");
    }
    comparePolicy(before, after, builder);
    compareLimits(before.limits, after.limits, builder);
}

/// Names, owner and the sentences for an item that is only in one of the catalogues.
struct ItemText
{
    const char *item;
    const char *removedEffect;
    const char *addedEffect;
};

template<class Item, class NameOf, class Compare>
void compareItems(const std::vector<Item> &before,
                  const std::vector<Item> &after,
                  const ItemText &text,
                  const NameOf &nameOfItem,
                  const Compare &compare,
                  std::vector<CatalogueChange> &changes)
{
    std::map<std::string, std::pair<const Item *, const Item *>> items;
    for (const Item &item : before) {
        items[nameOfItem(item)].first = &item;
    }
    for (const Item &item : after) {
        items[nameOfItem(item)].second = &item;
    }
    for (const auto &[name, versions] : items) {
        const auto &[old, current] = versions;
        CatalogueChange change { ChangeKind::Changed, text.item, name, {}, {}, ChangeImpact::None, {} };
        ChangeBuilder builder(change);
        if (old == nullptr) {
            change.kind = ChangeKind::Added;
            builder.effect(ChangeImpact::NewWork, text.addedEffect);
        } else if (current == nullptr) {
            change.kind = ChangeKind::Removed;
            builder.effect(ChangeImpact::BreaksWork, text.removedEffect);
        } else {
            compare(*old, *current, builder);
        }
        if constexpr (std::is_same_v<Item, Entry>) {
            change.owner = (current == nullptr ? old : current)->owner;
        }
        if (change.kind != ChangeKind::Changed || !change.fields.empty()) {
            changes.push_back(std::move(change));
        }
    }
}

} // namespace

CatalogueDiff diffCatalogues(const Catalogue &before, const Catalogue &after)
{
    CatalogueDiff diff { after.version > before.version, {} };
    const auto name = [](const auto &item) { return item.name; };
    const std::pair names(serviceNames(before), serviceNames(after));
    compareItems(
        before.entries,
        after.entries,
        { "entry", "Its open flows and queued requests are refused from now on.", "Callers can use its address." },
        [](const Entry &entry) { return entry.name.value; },
        [&names](const Entry &a, const Entry &b, ChangeBuilder &builder) { compareEntries(a, b, names, builder); },
        diff.changes);
    compareItems(before.services,
                 after.services,
                 { "service", "Its upstreams receive nothing from now on.", "Its upstreams can be used by entries." },
                 name,
                 compareServices,
                 diff.changes);
    compareItems(before.zones,
                 after.zones,
                 { "zone",
                   "VMs and upstreams that the platform lists in it lose their zone.",
                   "VMs and upstreams can be listed in it." },
                 name,
                 compareZones,
                 diff.changes);
    return diff;
}

ChangeImpact highestImpact(const CatalogueDiff &diff)
{
    ChangeImpact highest = ChangeImpact::None;
    for (const CatalogueChange &change : diff.changes) {
        highest = std::max(highest, change.impact);
    }
    return highest;
}

std::string_view impactName(ChangeImpact impact)
{
    switch (impact) {
    case ChangeImpact::None:
        return "none";
    case ChangeImpact::NewWork:
        return "new_work";
    case ChangeImpact::BreaksWork:
        return "breaks_work";
    }
    return "invalid";
}

} // namespace boragelug
