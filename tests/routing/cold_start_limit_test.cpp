#include "routing/cold_start_limit.h"

#include "tagged_fixture.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;
using namespace tagged;

constexpr std::uint64_t upstreamCount = 120;

std::vector<ColdStartUpstream> coldUpstreams(std::uint64_t cold, TimePoint coldUntil)
{
    std::vector<ColdStartUpstream> upstreams;
    for (std::uint64_t id = 1; id <= upstreamCount; ++id) {
        upstreams.push_back({ .id = UpstreamId { id }, .coldUntil = id <= cold ? coldUntil : TimePoint {} });
    }
    return upstreams;
}

/// VMs that don't know each other, and the flows that each upstream gets from all of them.
class Fleet
{
public:
    Fleet(std::size_t vms, double limit)
        : limit_(limit)
    {
        for (std::size_t i = 0; i < vms; ++i) {
            vms_.push_back(start(i));
        }
    }

    void setUpstreams(const std::vector<ColdStartUpstream> &upstreams)
    {
        upstreams_ = upstreams;
        for (ColdStartLimit &vm : vms_) {
            show(vm);
        }
    }

    /// VM @p index ends, and starts again with nothing but its number.
    void restart(std::size_t index)
    {
        vms_[index] = start(index);
        show(vms_[index]);
    }

    /// Each VM gets far more flows than its share, and sends them to every upstream that is allowed.
    void step()
    {
        for (ColdStartLimit &vm : vms_) {
            const auto *indices = vm.allowed(ledger, now_);
            const std::vector<std::size_t> allowed = indices != nullptr ? *indices : std::vector<std::size_t> {};
            for (const std::size_t index : allowed) {
                vm.recordPlaced(upstreams_[index].id, now_);
                if (now_ < upstreams_[index].coldUntil) {
                    flows_[upstreams_[index].id].push_back(now_);
                }
            }
        }
        now_ += 20ms;
    }

    /// The most flows that a cold upstream got within one second, over all seconds.
    std::size_t worstSecond() const
    {
        std::size_t worst = 0;
        for (const auto &[id, times] : flows_) {
            for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
                while (times[last] - times[first] > 1s) {
                    ++first;
                }
                worst = std::max(worst, last - first + 1);
            }
        }
        return worst;
    }

    std::size_t placed() const
    {
        std::size_t count = 0;
        for (const auto &[id, times] : flows_) {
            count += times.size();
        }
        return count;
    }

    TimePoint now() const { return now_; }

private:
    ColdStartLimit start(std::size_t index) const
    {
        ColdStartSettings settings;
        settings.vm = 1000 + index;
        ColdStartLimit limit(settings);
        limit.beginView({ { ledger, limit_ } }, now_);
        return limit;
    }

    void show(ColdStartLimit &vm)
    {
        vm.beginView({ { ledger, limit_ } }, now_);
        vm.setUpstreams(ledger, upstreams_);
    }

    double limit_;
    std::vector<ColdStartLimit> vms_;
    std::vector<ColdStartUpstream> upstreams_;
    std::map<UpstreamId, std::vector<TimePoint>> flows_;
    TimePoint now_ { 100s };
};

std::size_t bound(double limit)
{
    return static_cast<std::size_t>(std::floor(limit * 1.5 + 5));
}

// Guards cold upstreams against VMs that each keep to the limit, but not together, in every sliding second.
TEST(ColdStartLimitTest, HoldsForAllVmsTogether)
{
    for (const std::size_t vms : { 1U, 8U, 76U, 300U }) {
        for (const double limit : { 0.1, 5.0, 20.0, 400.0, 5000.0 }) {
            Fleet fleet(vms, limit);
            fleet.setUpstreams(coldUpstreams(upstreamCount, fleet.now() + 6s));
            for (int i = 0; i < 300; ++i) {
                fleet.step();
            }
            EXPECT_LE(fleet.worstSecond(), bound(limit)) << vms << " VMs, " << limit << " a second";
        }
    }
}

// Guards a service whose upstreams are all cold against getting no flow at all.
TEST(ColdStartLimitTest, OpensFlowsIfAllUpstreamsAreCold)
{
    for (const std::size_t vms : { 1U, 8U, 76U, 300U }) {
        Fleet fleet(vms, 20);
        fleet.setUpstreams(coldUpstreams(upstreamCount, fleet.now() + 6s));
        for (int i = 0; i < 300; ++i) {
            fleet.step();
        }
        EXPECT_GT(fleet.placed(), vms) << vms;
    }
}

// Guards cold upstreams from flows that others could take, also while some VMs still take them for cold.
TEST(ColdStartLimitTest, UsesOnlyWarmUpstreamsIfThereAreAny)
{
    Fleet fleet(76, 20);
    fleet.setUpstreams(coldUpstreams(upstreamCount - 1, fleet.now() + 3s));
    for (int i = 0; i < 140; ++i) {
        fleet.step();
    }
    EXPECT_EQ(fleet.placed(), 0U);
}

// Guards the bound where upstreams turn cold one after the other until none is left.
TEST(ColdStartLimitTest, HoldsWhileTheMixtureChanges)
{
    Fleet fleet(300, 20);
    for (std::uint64_t cold = 0; cold <= upstreamCount; cold += 5) {
        fleet.setUpstreams(coldUpstreams(cold, fleet.now() + 4s));
        for (int i = 0; i < 20; ++i) {
            fleet.step();
        }
    }
    EXPECT_GT(fleet.placed(), 0U);
    EXPECT_LE(fleet.worstSecond(), bound(20));
}

// Guards the bound against VMs that restart again and again, and know nothing of the flows they opened.
TEST(ColdStartLimitTest, HoldsWhenVmsRestart)
{
    Fleet fleet(300, 20);
    fleet.setUpstreams(coldUpstreams(upstreamCount, fleet.now() + 10s));
    for (int i = 0; i < 450; ++i) {
        fleet.step();
        if (i % 70 == 69) {
            for (std::size_t vm = 0; vm < 300; ++vm) {
                fleet.restart(vm);
            }
        }
    }
    EXPECT_GT(fleet.placed(), 0U);
    EXPECT_LE(fleet.worstSecond(), bound(20));
}

// Guards against a gap after the last upstream has become warm, and against a limit that outlives its figure.
TEST(ColdStartLimitTest, EndsWithTheColdStartAndWithTheFigure)
{
    const TimePoint now { 100s };
    ColdStartLimit limit({});
    limit.beginView({ { ledger, 20 } }, now);
    limit.setUpstreams(ledger, coldUpstreams(upstreamCount, now + 2s));
    EXPECT_EQ(limit.coldUpstreams(now), upstreamCount);
    ASSERT_NE(limit.allowed(ledger, now), nullptr);
    EXPECT_TRUE(limit.allowed(ledger, now)->empty());
    EXPECT_EQ(limit.allowed(inspection, now), nullptr);
    EXPECT_EQ(limit.allowed(ledger, now + 2s), nullptr);
    limit.beginView({}, now);
    EXPECT_EQ(limit.allowed(ledger, now), nullptr);
    EXPECT_EQ(limit.coldUpstreams(now), 0U);
}

class ColdStartRoutingTest : public TaggedRouterTest
{
protected:
    void setUpstreams(std::vector<DirectoryUpstream> upstreams, double limit)
    {
        auto limited = view(std::move(upstreams));
        if (limit > 0) {
            limited->coldLimits[ledger] = limit;
        }
        router.applyView(limited, now);
    }

    DirectoryUpstream coldUpstream(std::uint64_t id, ZoneId zone) const
    {
        DirectoryUpstream status = upstream(id, ledger, zone);
        status.coldUntil = now + 2s;
        return status;
    }
};

// Guards local cold upstreams: new flows go to another zone, and open ones stay.
TEST_F(ColdStartRoutingTest, SendsNewFlowsToWarmUpstreams)
{
    setUpstreams({ upstream(1, ledger, home), upstream(2, ledger, away) }, 20);
    const FlowPacket opening = syn(1, 1);
    const auto placed = route(opening);
    ASSERT_TRUE(placed);
    ASSERT_EQ(placed->upstream, UpstreamId { 1 });
    setUpstreams({ coldUpstream(1, home), upstream(2, ledger, away) }, 20);
    EXPECT_EQ(router.coldUpstreams(now), 1U);
    for (std::uint16_t port = 2; port <= 50; ++port) {
        const auto next = route(syn(1, port));
        ASSERT_TRUE(next);
        EXPECT_EQ(next->upstream, UpstreamId { 2 });
    }
    EXPECT_EQ(route(data(opening, placed->tag, 0, 500))->upstream, UpstreamId { 1 });
    now += 2s;
    EXPECT_EQ(route(syn(1, 60))->upstream, UpstreamId { 1 });
}

// Guards callers beyond the limit: they are reset at once, not left without an answer.
TEST_F(ColdStartRoutingTest, ResetsFlowsBeyondTheLimit)
{
    setUpstreams({ coldUpstream(1, home), coldUpstream(2, away) }, 20);
    const auto decision = router.route(syn(1, 1), { .viewIsFresh = true, .mayQueue = true }, now);
    const auto *reset = std::get_if<ResetFlow>(&decision);
    ASSERT_NE(reset, nullptr);
    EXPECT_EQ(reset->reason, TaggedRefusal::NoUpstream);
}

// Guards callers of a service whose only warm upstream has crashed: cold ones get as many flows as they bear.
TEST_F(ColdStartRoutingTest, OpensFlowsAtColdUpstreamsIfAllWarmOnesAreEjected)
{
    setUpstreams({ upstream(1, ledger, home), upstream(2, ledger, home) }, 5000);
    now += 2s;
    DirectoryUpstream cold = upstream(2, ledger, home);
    cold.coldUntil = now + 10s;
    setUpstreams({ upstream(1, ledger, home), cold }, 5000);
    for (std::uint16_t port = 1; port <= 2; ++port) {
        EXPECT_EQ(route(syn(1, port))->upstream, UpstreamId { 1 });
    }
    now += 250ms;
    for (std::uint16_t port = 1; port <= 2; ++port) {
        FlowPacket copy = syn(1, port);
        copy.synCopies = 1;
        route(copy);
    }
    std::size_t placed = 0;
    for (std::uint16_t port = 10; port < 20; ++port) {
        const auto next = route(syn(1, port));
        placed += next && next->upstream == UpstreamId { 2 } ? 1 : 0;
    }
    EXPECT_EQ(placed, 1U) << "the VM's share";
    now += 800ms;
    const auto next = route(syn(1, 30));
    ASSERT_TRUE(next);
    EXPECT_EQ(next->upstream, UpstreamId { 1 }) << "no longer ejected";
}

// Guards deployments without the figure: cold upstreams get their usual share.
TEST_F(ColdStartRoutingTest, NeedsAFigure)
{
    setUpstreams({ coldUpstream(1, home) }, 0);
    EXPECT_TRUE(route(syn(1, 1)));
    EXPECT_EQ(router.coldUpstreams(now), 0U);
}

} // namespace
} // namespace boragelug
