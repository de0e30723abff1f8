#include "core/hash.h"
#include "tests/routing/fleet.h"

#include <algorithm>
#include <utility>

namespace boragelug
{
namespace
{

class FlowRouterAdapter : public FleetRouter
{
public:
    explicit FlowRouterAdapter(const FlowRouterSettings &settings)
        : router_(settings)
    { }
    void applyView(std::shared_ptr<const View> view, TimePoint now) override
    {
        router_.applyView(std::move(view), now);
    }
    RoutingDecision route(const PacketAttributes &attributes, TimePoint now) override
    {
        return router_.route(attributes, now);
    }
    void receive(const FlowEntries &entries, VmId from, TimePoint now) override { router_.receive(entries, from, now); }
    std::vector<OutgoingMessage> tick(TimePoint now, std::size_t budget) override { return router_.tick(now, budget); }
    std::size_t tableBytes() const override { return router_.gauges().tableBytes; }

private:
    FlowRouter router_;
};

class ModuloRouter : public FleetRouter
{
public:
    void applyView(std::shared_ptr<const View> view, TimePoint /*now*/) override { view_ = std::move(view); }
    RoutingDecision route(const PacketAttributes &attributes, TimePoint /*now*/) override
    {
        const auto entry = std::ranges::find(view_->catalogue.entries, attributes.entry, &Entry::address);
        std::vector<const Upstream *> live;
        for (const UpstreamStatus &status : view_->upstreams) {
            if (status.upstream.service == entry->service && status.upstream.state == UpstreamState::Active) {
                live.push_back(&status.upstream);
            }
        }
        if (live.empty()) {
            return RefusePacket { RefuseReason::NoUpstream };
        }
        const Upstream &upstream = *live[mix64(attributes.key.value) % live.size()];
        return SendToUpstream { upstream.id, upstream.tunnelEndpoint, upstream.service };
    }
    void receive(const FlowEntries & /*entries*/, VmId /*from*/, TimePoint /*now*/) override { }
    std::vector<OutgoingMessage> tick(TimePoint /*now*/, std::size_t /*budget*/) override { return {}; }

private:
    std::shared_ptr<const View> view_;
};

} // namespace

std::unique_ptr<FleetRouter> makeFlowRouter(std::uint64_t seed, std::size_t maxFlows)
{
    return std::make_unique<FlowRouterAdapter>(FlowRouterSettings { maxFlows, seed });
}

std::unique_ptr<FleetRouter> makeModuloRouter(std::uint64_t /*seed*/, std::size_t /*maxFlows*/)
{
    return std::make_unique<ModuloRouter>();
}

} // namespace boragelug
