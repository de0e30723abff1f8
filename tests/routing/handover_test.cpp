#include "core/random.h"
#include "routing/flow_router.h"

#include <gtest/gtest.h>

#include <set>

namespace boragelug
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const Endpoint entryAddress { { 0x0a000001 }, { 80 } };

/// A view of VM 1 among five VMs of one zone, with one host.
std::shared_ptr<View> makeView(VmState ownState)
{
    auto view = std::make_shared<View>();
    view->self = { 1 };
    view->selfZone = { 1 };
    view->catalogue.services = { { { 1 }, "ledger", 3, 20'000, {} } };
    Entry entry;
    entry.service = { 1 };
    entry.address = entryAddress;
    view->catalogue.entries = { entry };
    UpstreamStatus status;
    status.upstream.id = { 1 };
    status.upstream.service = { 1 };
    status.upstream.zone = { 1 };
    view->upstreams = { status };
    for (std::uint64_t id = 1; id <= 5; ++id) {
        Member member;
        member.vm.id = { id };
        member.vm.zone = { 1 };
        member.vm.state = id == 1 ? ownState : VmState::Live;
        view->members.push_back(member);
    }
    return view;
}

class HandoverTest : public testing::Test
{
protected:
    HandoverTest()
    {
        router_.applyView(makeView(VmState::Live), now_);
        now_ += seconds(20);
        for (std::uint64_t key = 1; key <= 1000; ++key) {
            attributes_.key = { key };
            attributes_.entry = entryAddress;
            attributes_.flowStart = FlowStart::Yes;
            router_.route(attributes_, now_);
            attributes_.flowStart = FlowStart::No;
            router_.route(attributes_, now_);
        }
        now_ += seconds(1);
    }

    TimePoint now_ { seconds(1000) };
    FlowRouter router_ { { 2048, 1 } };
    PacketAttributes attributes_;
};

// Guards the graceful leave of a VM: it sends every entry of which it was the primary to a new owner, within the byte
// budget.
TEST_F(HandoverTest, LeavingVmPushesItsFlowsWithinBudget)
{
    const std::size_t owned = router_.gauges().primaryFlows;
    ASSERT_GT(owned, 100U);
    EXPECT_EQ(router_.handoverRemaining(), 0U);
    router_.applyView(makeView(VmState::Leaving), now_);
    EXPECT_GE(router_.handoverRemaining(), owned);
    std::set<std::uint64_t> pushed;
    for (int ticks = 0; router_.handoverRemaining() > 0 && ticks < 1000; ++ticks) {
        now_ += milliseconds(100);
        const std::uint64_t before = router_.counters().bytesSent;
        for (const OutgoingMessage &message : router_.tick(now_, 400)) {
            for (const FlowRecord &record : std::get<FlowEntries>(message.message).records) {
                pushed.insert(record.key.value);
            }
        }
        EXPECT_LE(router_.counters().bytesSent - before, 400U);
    }
    EXPECT_EQ(router_.handoverRemaining(), 0U);
    EXPECT_EQ(pushed.size(), owned);
    EXPECT_EQ(router_.gauges().primaryFlows, 0U);
}

// Guards hints: a VM that redirects 16 packets of a flow is sent the flow's entry once, after any handover records.
TEST_F(HandoverTest, HintsVmThatKeepsRedirecting)
{
    std::uint64_t key = 1;
    attributes_.redirected = true;
    attributes_.option.origin = { 5 };
    attributes_.option.hops = attributes_.option.vmCount = 1;
    attributes_.option.vms[0] = { 5 };
    for (; key <= 1000; ++key) {
        attributes_.key = { key };
        if (std::holds_alternative<SendToUpstream>(router_.route(attributes_, now_))) {
            break;
        }
    }
    ASSERT_LE(key, 1000U);
    for (int packet = 2; packet <= 16; ++packet) {
        EXPECT_TRUE(router_.tick(now_, 400).empty());
        router_.route(attributes_, now_);
    }
    const auto messages = router_.tick(now_, 400);
    ASSERT_EQ(messages.size(), 1U);
    EXPECT_EQ(messages[0].to, VmId { 5 });
    EXPECT_TRUE(std::get<FlowEntries>(messages[0].message).hint);
}

// Guards against redirect options that no correct peer sends: lists with this VM, duplicates, unknown VMs and loops.
TEST_F(HandoverTest, SurvivesArbitraryOptions)
{
    Random random(11);
    for (int i = 0; i < 20'000; ++i) {
        attributes_.key = { random.below(1200) };
        attributes_.redirected = true;
        attributes_.flowStart = static_cast<FlowStart>(random.below(3));
        attributes_.endsFlow = random.chance(0.1);
        RedirectOption &option = attributes_.option;
        option.phase = static_cast<RedirectPhase>(random.below(2));
        option.flags = static_cast<std::uint8_t>(random.below(16));
        option.hops = static_cast<std::uint8_t>(random.below(256));
        option.vmCount = static_cast<std::uint8_t>(random.below(9));
        option.origin = { random.below(8) };
        for (VmId &vm : option.vms) {
            vm = { random.below(8) };
        }
        option.choice = { { random.below(3) }, { random.below(2) } };
        const RoutingDecision decision = router_.route(attributes_, now_);
        if (const auto *redirect = std::get_if<RedirectToVm>(&decision)) {
            ASSERT_NE(redirect->vm, VmId { 1 });
            ASSERT_GT(redirect->option.hops, option.hops);
        }
    }
}

} // namespace
} // namespace boragelug
