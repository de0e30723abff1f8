#include "soak/promises.h"

#include <algorithm>

namespace boragelug::soak
{

bool Promises::inTouch(std::size_t vm, TimePoint now) const
{
    const auto found = vms_.find(vm);
    return (found == vms_.end() || now - found->second > bounds_.contact) && now - store_ > bounds_.contact;
}

void Promises::foreignService(const std::string &wanted, const std::string &service, TimePoint now)
{
    report("service", "a packet for " + wanted + " reached a host of " + service, now);
}

void Promises::opened(std::size_t vm,
                      std::optional<TimePoint> draining,
                      std::optional<TimePoint> routeRemoved,
                      TimePoint now)
{
    if (!inTouch(vm, now)) {
        return;
    }
    if (draining && now - *draining > bounds_.drain) {
        report("drain", "a draining host got a new flow from VM " + std::to_string(vm), now);
    }
    if (routeRemoved && now - *routeRemoved > bounds_.change) {
        report("change", "a removed entry got a new flow from VM " + std::to_string(vm), now);
    }
}

void Promises::hostEnded(std::uint64_t host)
{
    std::erase_if(flows_, [&](const auto &flow) { return flow.second.host == host; });
}

void Promises::flowPacket(const FlowEnds &flow, std::uint64_t host, TimePoint now)
{
    const auto found = flows_.find(flow);
    if (found == flows_.end()) {
        return;
    }
    if (found->second.host == host) {
        found->second.misled = 0;
    } else if (++found->second.misled >= bounds_.misledPackets) {
        report("flow", "packets of an open flow reach another host than its living one", now);
    }
}

void Promises::systemReset(const FlowEnds &flow, TimePoint now)
{
    if (flows_.contains(flow)) {
        report("reset", "an open flow of a living host was reset: " + toString(flow.first), now);
    }
}

void Promises::report(const std::string &promise, const std::string &detail, TimePoint now)
{
    const bool known =
        std::any_of(violations_.begin(), violations_.end(), [&](const Violation &v) { return v.promise == promise; });
    if (!known) {
        violations_.push_back({ .at = now - start_, .promise = promise, .detail = detail });
    }
}

} // namespace boragelug::soak
