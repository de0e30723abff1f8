#include "requests/limit_share.h"

#include "core/random.h"

#include <gtest/gtest.h>

#include <deque>

namespace boragelug
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t entry = 42;
constexpr double limit = 800;
constexpr std::uint32_t countLimit = 13;
constexpr Duration increaseDelay = seconds(3);

/// View of VM @p self with the first @p count VMs, in two zones of one region.
View makeView(std::size_t self, std::size_t count)
{
    View view;
    view.self = VmId { self + 1 };
    view.selfZone = ZoneId { static_cast<std::uint16_t>(1 + self % 2) };
    view.catalogue.zones = { { ZoneId { 1 }, "a", "r" }, { ZoneId { 2 }, "b", "r" }, { ZoneId { 3 }, "c", "other" } };
    for (std::size_t i = 0; i < count; ++i) {
        Member member;
        member.vm.id = VmId { i + 1 };
        member.vm.zone = ZoneId { static_cast<std::uint16_t>(1 + i % 2) };
        // Unreachable VMs count until the configuration service no longer lists them.
        member.health = i == 1 ? MemberHealth::Dead : MemberHealth::Alive;
        view.members.push_back(member);
    }
    return view;
}

struct Sums
{
    double worstRate = 0;
    double worstSingle = 0;
    std::uint32_t worstCount = 0;
    double lastRate = 0;
};

/// Simulates the shares of eight VMs with uneven demand, with delayed, reordered and lost reports. @p viewSize returns
/// the number of members in the view of each VM at each second.
template<class ViewSize>
Sums run(std::uint64_t seed, double lossRate, ViewSize viewSize)
{
    constexpr std::size_t vms = 8;
    struct ReportInTransit
    {
        TimePoint when;
        VmId from;
        std::size_t to = 0;
        DemandReport report;
    };
    Random random(seed);
    std::vector<LimitShares> shares(vms, LimitShares(increaseDelay, TimePoint {}));
    std::deque<ReportInTransit> inTransit;
    Sums sums;
    for (int tick = 0; tick < 600; ++tick) {
        const TimePoint now = TimePoint {} + milliseconds(100) * tick;
        for (std::size_t vm = 0; vm < vms; ++vm) {
            if (tick % 10 == 0) {
                shares[vm].applyView(makeView(vm, viewSize(vm, tick / 10)), now);
            }
            // Each VM reports at a different time, and the high demand moves from VM to VM every few seconds.
            if (tick % 10 == static_cast<int>(vm)) {
                const bool busy = (static_cast<std::size_t>(tick) / 100 + vm) % 4 == 0;
                DemandReport report;
                report.items.push_back({ entry, busy ? 300.0 : 10.0 + random.unit() * 50.0, 0 });
                for (OutgoingMessage &message : shares[vm].reportDemand(report, now)) {
                    if (!random.chance(lossRate)) {
                        inTransit.push_back({ now + milliseconds(random.below(90)),
                                              VmId { vm + 1 },
                                              message.to.value - 1,
                                              std::get<DemandReport>(message.message) });
                    }
                }
            }
        }
        const std::deque<ReportInTransit> due = std::exchange(inTransit, {});
        for (const ReportInTransit &sent : due) {
            if (sent.when <= now) {
                shares[sent.to].handleReport(sent.from, sent.report, now);
            } else {
                inTransit.push_back(sent);
            }
        }
        double rate = 0;
        std::uint32_t count = 0;
        for (LimitShares &each : shares) {
            const double own = each.rateShare(entry, limit, now);
            rate += own;
            sums.worstSingle = std::max(sums.worstSingle, own);
            count += each.countShare(entry, countLimit, now);
        }
        sums.worstRate = std::max(sums.worstRate, rate);
        sums.worstCount = std::max(sums.worstCount, count);
        sums.lastRate = rate;
    }
    return sums;
}

// Guards against a sum of shares above the limit while all views agree and reports are late or lost.
TEST(LimitShare, AgreeingViewsKeepTheLimit)
{
    for (const double loss : { 0.0, 0.1, 0.5 }) {
        Sums worst;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            const Sums sums = run(seed, loss, [](std::size_t, int) { return std::size_t { 8 }; });
            worst.worstRate = std::max(worst.worstRate, sums.worstRate);
            worst.worstSingle = std::max(worst.worstSingle, sums.worstSingle);
            EXPECT_LE(sums.worstCount, countLimit);
            EXPECT_GE(sums.lastRate, 0.5 * limit) << "shares are lost, seed " << seed;
        }
        printf("loss %.1f: largest sum of shares %.1f of %.0f, largest share %.1f (equal share %.0f)\n",
               loss,
               worst.worstRate,
               limit,
               worst.worstSingle,
               limit / 8);
        EXPECT_LE(worst.worstRate, limit * (1 + 1e-9)) << "loss " << loss;
        EXPECT_GT(worst.worstSingle, limit / 8 * 1.1) << "demand reports move no share, loss " << loss;
    }
}

struct Disagreement
{
    const char *name;
    /// Number of members in stale views and in current views.
    std::size_t lagging;
    std::size_t others;
    /// Sum of 1/n over all views, where n is the number of members. The test multiplies it by 1.5 for the half of the
    /// shares that can move.
    double bound;
};

// Guards against exceeding the limit beyond the computed bound while some VMs have a stale view.
TEST(LimitShare, DifferingViewsStayWithinTheBound)
{
    constexpr std::array cases { Disagreement { "half of the views lack two new VMs", 6, 8, 4.0 / 6 + 4.0 / 8 },
                                 Disagreement {
                                     "two VMs still run that the others no longer list", 8, 6, 2.0 / 8 + 6.0 / 6 } };
    for (const Disagreement &disagreement : cases) {
        double worst = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            const bool dropped = disagreement.lagging > disagreement.others;
            const Sums sums = run(seed, 0.0, [&](std::size_t vm, int second) {
                const bool lags = dropped ? vm >= 6 : vm < 4;
                return second < 10 ? std::size_t { 8 } : (lags ? disagreement.lagging : disagreement.others);
            });
            worst = std::max(worst, sums.worstRate);
        }
        printf("%s: largest sum of shares %.1f, limit %.0f, bound %.1f\n",
               disagreement.name,
               worst,
               limit,
               1.5 * disagreement.bound * limit);
        EXPECT_LE(worst, 1.5 * disagreement.bound * limit);
        EXPECT_GT(worst, limit) << "the disagreement is too mild to show the excess";
    }
}

// Guards against shares that grow in a network partition: unreachable VMs count until they are no longer listed.
TEST(LimitShare, PartitionDoesNotGrowShares)
{
    LimitShares shares(increaseDelay, TimePoint {});
    for (int second = 0; second < 20; ++second) {
        View view = makeView(0, 8);
        for (Member &member : view.members) {
            member.health = second > 8 && member.vm.zone.value == 2 ? MemberHealth::Dead : MemberHealth::Alive;
        }
        shares.applyView(view, TimePoint {} + seconds(second));
        EXPECT_LE(shares.rateShare(entry, limit, TimePoint {} + seconds(second)), limit / 8 + 1e-9);
    }
}

} // namespace

} // namespace boragelug
