#include "bench/baselines.h"

#include "core/hash.h"
#include "routing/flow_table.h"
#include "routing/rendezvous.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <unordered_map>

namespace boragelug
{
namespace
{

using std::chrono::seconds;

/// Active hosts of one service, with what is needed to send to them.
struct Pool
{
    std::vector<RendezvousNode> nodes;
    std::vector<const Upstream *> hosts;
};

struct Generation
{
    std::shared_ptr<const View> view;
    TimePoint since;
    std::unordered_map<std::uint32_t, Pool> pools;
};

Generation makeGeneration(std::shared_ptr<const View> view, TimePoint now)
{
    Generation generation { std::move(view), now, {} };
    for (const UpstreamStatus &status : generation.view->upstreams) {
        const Upstream &upstream = status.upstream;
        if (upstream.state == UpstreamState::Active) {
            Pool &pool = generation.pools[upstream.service.value];
            pool.nodes.push_back({ upstream.id.value, 1 });
            pool.hosts.push_back(&upstream);
        }
    }
    return generation;
}

/// Rendezvous with the parts that the further baselines replace.
class RendezvousRouter : public FleetRouter
{
public:
    void applyView(std::shared_ptr<const View> view, TimePoint now) override
    {
        current_ = makeGeneration(std::move(view), now);
    }
    RoutingDecision route(const PacketAttributes &attributes, TimePoint /*now*/) override
    {
        const Upstream *host = pick(current_, attributes);
        return host == nullptr ? RoutingDecision { RefusePacket { RefuseReason::NoUpstream } } : send(*host);
    }
    void receive(const FlowEntries & /*entries*/, VmId /*from*/, TimePoint /*now*/) override { }
    std::vector<OutgoingMessage> tick(TimePoint /*now*/, std::size_t /*budget*/) override { return {}; }

protected:
    static const Upstream *pick(const Generation &generation, const PacketAttributes &attributes)
    {
        const auto entry = std::ranges::find(generation.view->catalogue.entries, attributes.entry, &Entry::address);
        if (entry == generation.view->catalogue.entries.end()) {
            return nullptr;
        }
        const auto pool = generation.pools.find(entry->service.value);
        if (pool == generation.pools.end()) {
            return nullptr;
        }
        const auto index = rendezvousPick(attributes.key.value, pool->second.nodes);
        return index ? pool->second.hosts[*index] : nullptr;
    }

    static SendToUpstream send(const Upstream &host) { return { host.id, host.tunnelEndpoint, host.service }; }

    Generation current_;
};

/// Adds a table from flows to upstreams.
class TableRouter : public RendezvousRouter
{
public:
    TableRouter(std::uint64_t seed, std::size_t maxFlows)
        : table_(maxFlows, seed)
    { }
    void applyView(std::shared_ptr<const View> view, TimePoint now) override
    {
        RendezvousRouter::applyView(std::move(view), now);
        listed_.clear();
        for (const UpstreamStatus &status : current_.view->upstreams) {
            listed_[static_cast<std::uint32_t>(status.upstream.id.value)] = &status.upstream;
        }
    }
    RoutingDecision route(const PacketAttributes &attributes, TimePoint now) override
    {
        const FlowTick tick = toTicks(now.time_since_epoch());
        if (const Upstream *known = lookUp(attributes, tick)) {
            return send(*known);
        }
        const Upstream *host = pick(current_, attributes);
        if (host == nullptr) {
            return RefusePacket { RefuseReason::NoUpstream };
        }
        remember(attributes.key, host->id, tick);
        return send(*host);
    }
    std::size_t tableBytes() const override { return table_.memoryBytes(); }

protected:
    const Upstream *lookUp(const PacketAttributes &attributes, FlowTick tick)
    {
        const FlowTable::Slot slot = table_.find(attributes.key);
        if (slot == FlowTable::none) {
            return nullptr;
        }
        table_.touch(slot, tick);
        const auto found = listed_.find(table_.at(slot).upstream);
        return found == listed_.end() ? nullptr : found->second;
    }

    void remember(FlowKey key, UpstreamId upstream, FlowTick tick)
    {
        FlowTable::Slot slot = table_.find(key);
        if (slot == FlowTable::none) {
            slot = table_.insert(key, FlowState::Established, tick).slot;
        }
        table_.at(slot).upstream = static_cast<std::uint32_t>(upstream.value);
    }

    FlowTable table_;
    /// Host ids of the scenarios fit into 32 bits.
    std::unordered_map<std::uint32_t, const Upstream *> listed_;
};

class TrackingRouter : public TableRouter
{
public:
    using TableRouter::TableRouter;

    void applyView(std::shared_ptr<const View> view, TimePoint now) override
    {
        const bool changed = current_.view
            && (current_.view->upstreams.size() != view->upstreams.size()
                || !std::ranges::equal(current_.view->upstreams,
                                       view->upstreams,
                                       {},
                                       &UpstreamStatus::upstream,
                                       &UpstreamStatus::upstream));
        if (changed) {
            recent_.push_back(std::move(current_));
            recent_.back().since = now;
        }
        TableRouter::applyView(std::move(view), now);
    }

    RoutingDecision route(const PacketAttributes &attributes, TimePoint now) override
    {
        while (!recent_.empty() && recent_.front().since + seconds(60) < now) {
            recent_.pop_front();
        }
        const FlowTick tick = toTicks(now.time_since_epoch());
        if (attributes.flowStart != FlowStart::Yes) {
            if (const Upstream *known = lookUp(attributes, tick)) {
                return send(*known);
            }
        }
        const Upstream *host = pick(current_, attributes);
        if (host == nullptr) {
            return RefusePacket { RefuseReason::NoUpstream };
        }
        const Upstream *before = recent_.empty() ? host : pick(recent_.front(), attributes);
        const bool disagree = before == nullptr || before->id != host->id;
        if (attributes.flowStart == FlowStart::Yes) {
            return place(attributes, host, disagree, tick);
        }
        if (disagree) {
            if (const VmId peer = nextPeer(attributes); peer.value != 0) {
                return ask(attributes, peer);
            }
            // No peer knows it, so the flow is older than the change.
            const auto listed =
                before == nullptr ? listed_.end() : listed_.find(static_cast<std::uint32_t>(before->id.value));
            host = listed == listed_.end() ? host : listed->second;
        }
        return send(*host);
    }

    void receive(const FlowEntries &entries, VmId /*from*/, TimePoint now) override
    {
        for (const FlowRecord &record : entries.records) {
            remember(record.key, record.upstream, toTicks(now.time_since_epoch()));
        }
    }

    std::vector<OutgoingMessage> tick(TimePoint /*now*/, std::size_t budget) override
    {
        std::vector<OutgoingMessage> messages;
        placed_ *= 0.99;
        for (auto &[id, load] : loads_) {
            load *= 0.99;
        }
        while (!untold_.empty() && budget >= 120) {
            FlowEntries entries;
            const VmId to = untold_.front().first;
            budget -= 80;
            while (!untold_.empty() && untold_.front().first == to && budget >= 40) {
                entries.records.push_back(untold_.front().second);
                untold_.pop_front();
                budget -= 40;
            }
            messages.push_back({ to, entries });
        }
        return messages;
    }

private:
    RoutingDecision place(const PacketAttributes &attributes, const Upstream *host, bool disagree, FlowTick tick)
    {
        const Pool &pool = current_.pools.at(host->service.value);
        const double limit = 1.05 * (placed_ + 1) / static_cast<double>(pool.hosts.size());
        const Upstream *chosen = host;
        if (loads_[host->id.value] > limit) {
            chosen =
                *std::ranges::min_element(pool.hosts, {}, [this](const Upstream *h) { return loads_[h->id.value]; });
        }
        loads_[chosen->id.value] += 1;
        placed_ += 1;
        if (chosen != host || disagree) {
            remember(attributes.key, chosen->id, tick);
            for (const VmId peer : peersOf(attributes.key)) {
                if (peer != current_.view->self && untold_.size() < 100'000) {
                    untold_.push_back({ peer, { attributes.key, chosen->service, chosen->id, chosen->incarnation } });
                }
            }
        }
        return send(*chosen);
    }

    std::array<VmId, 2> peersOf(FlowKey key) const
    {
        std::array<VmId, 2> best {};
        std::array<std::uint64_t, 2> scores {};
        for (const Member &member : current_.view->members) {
            const std::uint64_t score = rendezvousScore(key.value, member.vm.id.value);
            if (member.health != MemberHealth::Alive) {
                continue;
            }
            if (score > scores[0]) {
                best = { member.vm.id, best[0] };
                scores = { score, scores[0] };
            } else if (score > scores[1]) {
                best[1] = member.vm.id;
                scores[1] = score;
            }
        }
        return best;
    }

    VmId nextPeer(const PacketAttributes &attributes) const
    {
        const auto visited = attributes.option.list();
        for (const VmId peer : peersOf(attributes.key)) {
            if (peer.value != 0 && peer != current_.view->self && std::ranges::find(visited, peer) == visited.end()) {
                return peer;
            }
        }
        return {};
    }

    RoutingDecision ask(const PacketAttributes &attributes, VmId peer) const
    {
        RedirectOption option = attributes.option;
        option.vms[option.vmCount++] = current_.view->self;
        ++option.hops;
        return RedirectToVm { peer, {}, option };
    }

    std::deque<Generation> recent_;
    std::deque<std::pair<VmId, FlowRecord>> untold_;
    std::unordered_map<std::uint64_t, double> loads_;
    double placed_ = 0;
};

} // namespace

std::unique_ptr<FleetRouter> makeRendezvousRouter(std::uint64_t /*seed*/, std::size_t /*maxFlows*/)
{
    return std::make_unique<RendezvousRouter>();
}

std::unique_ptr<FleetRouter> makeTableRouter(std::uint64_t seed, std::size_t maxFlows)
{
    return std::make_unique<TableRouter>(seed, maxFlows);
}

std::unique_ptr<FleetRouter> makeTrackingRouter(std::uint64_t seed, std::size_t maxFlows)
{
    return std::make_unique<TrackingRouter>(seed, maxFlows);
}

} // namespace boragelug
