#pragma once

#include "core/ids.h"
#include "routing/service_admission.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace boragelug
{

/// Slots of the upstreams of a service in one availability zone that may take new flows.
struct ZoneSlots
{
    ServiceId service;
    ZoneId zone;
    double slots = 0;
};

/// Where requests of one service may go now.
struct ServiceRoom
{
    struct Zone
    {
        ZoneId zone;
        /// For requests that can be answered in time, and for late ones.
        bool inTime = false;
        bool late = false;
    };

    std::vector<Zone> zones;

    /// Whether a request may go to @p zone, or to any zone for ZoneId {}. Zones that aren't listed have room.
    bool allows(ZoneId zone, bool late) const;
};

/**
 * Limits the requests that one VM has in progress, for each service and availability zone of its upstreams.
 *
 * Each zone has a limit of its own, so that requests go to other zones as soon as one is overloaded, and wait at the VM
 * only if all are. Does no I/O and reads no clock. Not synchronized: one thread at a time; times must not go back.
 */
class RequestAdmission
{
public:
    /// A request in progress; a number of 0 is none.
    struct Ticket
    {
        ServiceId service;
        ZoneId zone;
        ServiceAdmission::Ticket number = 0;
    };

    explicit RequestAdmission(const AdmissionSettings &settings);

    /// Replaces the zones in which services have upstreams. A VM doesn't know how many others there are: each starts
    /// with all slots of a zone as its limit, and the limits adapt to the latency of answers.
    void setSlots(std::span<const ZoneSlots> slots);

    /// Where requests of @p service may go now.
    ServiceRoom room(ServiceId service, TimePoint now);

    /// Counts a request that is forwarded to an upstream of @p zone; @p objective is its entry's latency objective.
    Ticket begin(ServiceId service, ZoneId zone, Duration objective, TimePoint now);

    /// Ends a request whose answer arrived; see ServiceAdmission::finish().
    void finish(const Ticket &ticket, double slowness, TimePoint now);

    /// Ends a request that gets no answer.
    void abandon(const Ticket &ticket);

    /// Mean latency of the recent answers of @p service in @p zone as a fraction of their objectives.
    double meanLatencyRatio(ServiceId service, ZoneId zone);

    /// Requests in progress over all zones of @p service. Over the zones in which it has upstreams, their limit and the
    /// mean latency with which as many requests are served as the zones serve together; 0 before the first answer.
    struct Totals
    {
        std::size_t inProgress = 0;
        double limit = 0;
        double meanLatencyRatio = 0;
    };
    Totals totals(ServiceId service) const;

    /// Limit of each service, over the zones in which it has upstreams.
    std::vector<std::pair<ServiceId, double>> limits() const;

private:
    using Key = std::pair<ServiceId, ZoneId>;

    ServiceAdmission &admission(const Key &key);
    /// Lowest recent mean latency of the service in its other zones.
    std::optional<double> lowestMeanElsewhere(const Key &key, TimePoint now) const;

    AdmissionSettings settings_;
    std::map<Key, double> slots_;
    std::map<Key, ServiceAdmission> admissions_;
};

} // namespace boragelug
