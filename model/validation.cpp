#include "model/validation.h"

#include "core/duration_text.h"
#include "model/catalogue_text.h"

#include <algorithm>
#include <map>
#include <string>

namespace boragelug
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration maxSlowStart = 1h;
constexpr Duration maxRequestDeadline = 1h;
constexpr std::uint32_t maxSlotsPerHost = 10'000;
constexpr std::uint32_t maxConnectionsPerHost = 1'000'000;
constexpr std::size_t maxNameLength = 63;

using ServicesById = std::map<ServiceId, const Service *>;

/// Collects problems and remembers which values were used where.
class Checker
{
public:
    void fail(const std::string &key, std::string message)
    {
        problems_.push_back({ "", 0, 0, key, std::move(message) });
    }

    /// Reports a value outside of [@p least, @p most].
    void range(const std::string &key, std::uint64_t value, std::uint64_t least, std::uint64_t most)
    {
        if (value < least || value > most) {
            fail(key,
                 "must be from " + std::to_string(least) + " to " + std::to_string(most) + ", not "
                     + std::to_string(value));
        }
    }

    void range(const std::string &key, Duration value, Duration least, Duration most)
    {
        if (value < least || value > most) {
            fail(key,
                 "must be from " + durationText(least) + " to " + durationText(most) + ", not " + durationText(value));
        }
    }

    void size(const std::string &key, std::size_t count, std::size_t most)
    {
        if (count > most) {
            fail(key, "has " + std::to_string(count) + " items; at most " + std::to_string(most) + " are valid");
        }
    }

    /// Reports a name that is empty or too long, or that an earlier item of @p kind has.
    void name(const std::string &kind, const std::string &key, const std::string &name)
    {
        if (name.empty() || name.size() > maxNameLength) {
            fail(key, "must be a name of 1 to " + std::to_string(maxNameLength) + " characters");
            return;
        }
        unique(kind + " name", key, name);
    }

    /// Reports @p value if an earlier item uses the same for the same purpose.
    void unique(const std::string &purpose, const std::string &key, const std::string &value)
    {
        const auto [earlier, isNew] = used_.try_emplace(purpose + '\n' + value, key);
        if (!isNew) {
            fail(key, "repeats the " + purpose + ' ' + value + " of " + earlier->second + "; each must be unique");
        }
    }

    Problems take() { return std::move(problems_); }

private:
    Problems problems_;
    std::map<std::string, std::string> used_;
};

std::string itemKey(std::string_view list, std::size_t index)
{
    return std::string(list) + '[' + std::to_string(index) + "].";
}

void checkZones(const Catalogue &catalogue, Checker &checker)
{
    checker.size("zones", catalogue.zones.size(), maxZones);
    if (catalogue.zones.empty()) {
        checker.fail("zones", "must name at least one availability zone");
    }
    for (std::size_t i = 0; i < catalogue.zones.size(); ++i) {
        const Zone &zone = catalogue.zones[i];
        const std::string key = itemKey("zones", i);
        checker.range(key + "id", zone.id.value, 1, 65535);
        checker.unique("zone id", key + "id", std::to_string(zone.id.value));
        checker.name("zone", key + "name", zone.name);
        if (zone.region.empty() || zone.region.size() > maxNameLength) {
            checker.fail(key + "region", "must be the name of the zone's region");
        }
    }
}

void checkServices(const Catalogue &catalogue, Checker &checker)
{
    checker.size("services", catalogue.services.size(), maxServices);
    for (std::size_t i = 0; i < catalogue.services.size(); ++i) {
        const Service &service = catalogue.services[i];
        const std::string key = itemKey("services", i);
        if (service.id.value < 1 || service.id.value > maxServiceId) {
            checker.fail(key + "id",
                         "must be from 1 to " + std::to_string(maxServiceId)
                             + ", since it is sent as a 24-bit VNI, not " + std::to_string(service.id.value));
        }
        checker.unique("service id", key + "id", std::to_string(service.id.value));
        checker.name("service", key + "name", service.name);
        checker.range(key + "slots_per_host", service.slotsPerHost, 0, maxSlotsPerHost);
        checker.range(key + "connections_per_host", service.connectionsPerHost, 0, maxConnectionsPerHost);
        checker.range(key + "slow_start", service.slowStart, Duration::zero(), maxSlowStart);
    }
}

void checkAddress(const Endpoint &address, const std::string &key, Checker &checker)
{
    const std::uint32_t firstByte = address.address.value >> 24U;
    if (firstByte == 0 || firstByte >= 224 || address.port.value == 0) {
        checker.fail(key, "must be a unicast IPv4 address with a port over 0, not " + toString(address));
    }
    checker.unique("address", key, toString(address));
}

/// An entry whose service lacks what the entry's kind needs would refuse all work.
void checkServiceOf(const Entry &entry, const std::string &key, const ServicesById &services, Checker &checker)
{
    const auto found = services.find(entry.service);
    if (found == services.end()) {
        checker.fail(key + "service", "is an unknown service " + std::to_string(entry.service.value));
        return;
    }
    const Service *const service = found->second;
    if (entry.kind == EntryKind::Requests && service->slotsPerHost == 0) {
        checker.fail(key + "service", "has slots_per_host 0; requests need at least 1");
    }
    if (entry.kind == EntryKind::Flows && service->connectionsPerHost == 0) {
        checker.fail(key + "service", "has connections_per_host 0; flows need at least 1");
    }
}

void checkLimits(const Entry &entry, const std::string &key, Checker &checker)
{
    const Limits &limits = entry.limits;
    checker.range(key + "requests_per_second", limits.requestsPerSecond, 0, maxRequestsPerSecond);
    checker.range(key + "requests_in_progress", limits.requestsInProgress, 0, maxRequestsInProgress);
    checker.range(key + "new_flows_per_second", limits.newFlowsPerSecond, 0, maxNewFlowsPerSecond);
    checker.range(key + "open_flows", limits.openFlows, 0, maxOpenFlows);
    checker.range(key + "bytes_per_second", limits.bytesPerSecond, 0, maxBytesPerSecond);
    const auto ineffective = [&](const char *name, std::uint64_t value, EntryKind kind) {
        if (value > 0 && entry.kind == kind) {
            checker.fail(key + name,
                         "has no effect on an entry of kind " + std::string(wordFor(entryKindWords, kind))
                             + "; remove it");
        }
    };
    ineffective("requests_per_second", limits.requestsPerSecond, EntryKind::Flows);
    ineffective("requests_in_progress", limits.requestsInProgress, EntryKind::Flows);
    ineffective("new_flows_per_second", limits.newFlowsPerSecond, EntryKind::Requests);
    ineffective("open_flows", limits.openFlows, EntryKind::Requests);
}

/// The values may come from a decoder that casts numbers to enumerations.
void checkEnumerations(const Entry &entry, const std::string &key, Checker &checker)
{
    if (entry.kind > EntryKind::Requests) {
        checker.fail(key + "kind", "is unknown; valid are flows and requests");
    }
    if (entry.importance > Importance::Ordinary) {
        checker.fail(key + "importance", "is an unknown class; valid are critical, important and ordinary");
    }
    if (entry.prefer > Preference::EvenLoad) {
        checker.fail(key + "prefer", "is unknown; valid are flow_continuity and even_load");
    }
}

void checkEntries(const Catalogue &catalogue, Checker &checker)
{
    checker.size("entries", catalogue.entries.size(), maxEntries);
    ServicesById services;
    for (const Service &service : catalogue.services) {
        services.emplace(service.id, &service);
    }
    for (std::size_t i = 0; i < catalogue.entries.size(); ++i) {
        const Entry &entry = catalogue.entries[i];
        const std::string key = itemKey("entries", i);
        checker.name("entry", key + "name", entry.name.value);
        if (entry.owner.value.empty() || entry.owner.value.size() > maxNameLength) {
            checker.fail(key + "owner", "must be the name of the team that owns the entry");
        }
        checkServiceOf(entry, key, services, checker);
        checkAddress(entry.address, key + "address", checker);
        checkEnumerations(entry, key, checker);
        const Duration least = entry.kind == EntryKind::Requests ? Duration(1ms) : Duration::zero();
        checker.range(key + "max_deadline", entry.maxDeadline, least, maxRequestDeadline);
        checkLimits(entry, key + "limits.", checker);
    }
}

} // namespace

Problems validateCatalogue(const Catalogue &catalogue)
{
    Checker checker;
    if (catalogue.version.value == 0) {
        checker.fail("version", "must be over 0 and grow with every change");
    }
    checkZones(catalogue, checker);
    checkServices(catalogue, checker);
    checkEntries(catalogue, checker);
    return checker.take();
}

Problems validatePlace(const Catalogue &catalogue, std::string_view zone, std::string_view region)
{
    const auto found = std::find_if(
        catalogue.zones.begin(), catalogue.zones.end(), [&](const Zone &candidate) { return candidate.name == zone; });
    if (found == catalogue.zones.end()) {
        std::string valid;
        for (const Zone &candidate : catalogue.zones) {
            valid += (valid.empty() ? "" : ", ") + candidate.name;
        }
        return { { "", 0, 0, "zone", "is the unknown zone " + std::string(zone) + "; the catalogue has: " + valid } };
    }
    if (found->region != region) {
        return { { "",
                   0,
                   0,
                   "region",
                   "is " + std::string(region) + ", but the catalogue puts zone " + found->name + " into region "
                       + found->region } };
    }
    return {};
}

} // namespace boragelug
