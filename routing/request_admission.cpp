#include "routing/request_admission.h"

#include <algorithm>
#include <utility>

namespace boragelug
{

bool ServiceRoom::allows(ZoneId zone, bool late) const
{
    const auto hasRoom = [late](const Zone &candidate) { return late ? candidate.late : candidate.inTime; };
    if (zone == ZoneId {}) {
        return zones.empty() || std::any_of(zones.begin(), zones.end(), hasRoom);
    }
    const auto found =
        std::find_if(zones.begin(), zones.end(), [zone](const Zone &known) { return known.zone == zone; });
    return found == zones.end() || hasRoom(*found);
}

RequestAdmission::RequestAdmission(const AdmissionSettings &settings)
    : settings_(settings)
{ }

void RequestAdmission::setSlots(std::span<const ZoneSlots> slots)
{
    const auto earlier = std::exchange(slots_, {});
    for (const ZoneSlots &zone : slots) {
        slots_[{ zone.service, zone.zone }] += zone.slots;
    }
    // Requests on open flows may have been counted before the zone had upstreams that take new flows.
    for (const auto &[key, zoneSlots] : slots_) {
        const auto known = admissions_.find(key);
        if (known != admissions_.end() && !earlier.contains(key)) {
            known->second.raiseLimit(zoneSlots);
        }
    }
}

ServiceAdmission &RequestAdmission::admission(const Key &key)
{
    const auto found = admissions_.find(key);
    if (found != admissions_.end()) {
        return found->second;
    }
    const auto slots = slots_.find(key);
    const double initialLimit = slots != slots_.end() ? slots->second : settings_.minLimit;
    return admissions_.try_emplace(key, settings_, initialLimit).first->second;
}

ServiceRoom RequestAdmission::room(ServiceId service, TimePoint now)
{
    ServiceRoom room;
    for (auto it = slots_.lower_bound({ service, ZoneId {} }); it != slots_.end() && it->first.first == service; ++it) {
        ServiceAdmission &zone = admission(it->first);
        room.zones.push_back({ .zone = it->first.second,
                               .inTime = zone.isBelowLimit(false, now),
                               .late = zone.isBelowLimit(true, now) });
    }
    return room;
}

RequestAdmission::Ticket RequestAdmission::begin(ServiceId service, ZoneId zone, Duration objective, TimePoint now)
{
    return { .service = service, .zone = zone, .number = admission({ service, zone }).begin(objective, now) };
}

void RequestAdmission::finish(const Ticket &ticket, double slowness, TimePoint now)
{
    const Key key { ticket.service, ticket.zone };
    admission(key).finish(ticket.number, now, slowness, lowestMeanElsewhere(key, now));
}

// A VM may send its first requests to a zone when the others are overloaded already. The lowest mean latency there
// would be that of the overload.
std::optional<double> RequestAdmission::lowestMeanElsewhere(const Key &key, TimePoint now) const
{
    std::optional<double> lowest;
    for (auto it = admissions_.lower_bound({ key.first, ZoneId {} });
         it != admissions_.end() && it->first.first == key.first;
         ++it) {
        const auto mean = it->second.lowestMean(now);
        if (it->first != key && mean && (!lowest || *mean < *lowest)) {
            lowest = mean;
        }
    }
    return lowest;
}

void RequestAdmission::abandon(const Ticket &ticket)
{
    admission({ ticket.service, ticket.zone }).abandon(ticket.number);
}

double RequestAdmission::meanLatencyRatio(ServiceId service, ZoneId zone)
{
    return admission({ service, zone }).meanLatencyRatio();
}

RequestAdmission::Totals RequestAdmission::totals(ServiceId service) const
{
    Totals totals;
    // Over the zones with known latency.
    double limit = 0;
    double pace = 0;
    for (auto it = admissions_.lower_bound({ service, ZoneId {} });
         it != admissions_.end() && it->first.first == service;
         ++it) {
        totals.inProgress += it->second.inProgress();
        // The latency of a zone that gets no requests any more stays what it was.
        if (slots_.contains(it->first)) {
            totals.limit += it->second.limit();
            if (const double ratio = it->second.meanLatencyRatio(); ratio > 0) {
                limit += it->second.limit();
                pace += it->second.limit() / ratio;
            }
        }
    }
    totals.meanLatencyRatio = pace > 0 ? limit / pace : 0;
    return totals;
}

std::vector<std::pair<ServiceId, double>> RequestAdmission::limits() const
{
    std::vector<std::pair<ServiceId, double>> limits;
    for (const auto &[key, zone] : admissions_) {
        if (!slots_.contains(key)) {
            continue;
        }
        if (limits.empty() || limits.back().first != key.first) {
            limits.emplace_back(key.first, 0);
        }
        limits.back().second += zone.limit();
    }
    return limits;
}

} // namespace boragelug
