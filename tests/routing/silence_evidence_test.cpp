#include "routing/silence_evidence.h"

#include <gtest/gtest.h>

#include <deque>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

constexpr ServiceId ledger { 1 };
constexpr ServiceId inspection { 2 };
constexpr ZoneId home { 1 };
constexpr ZoneId away { 2 };

/// One VM's view of some upstreams. The first one seems silent, the second one progresses.
class SilenceEvidenceTest : public ::testing::Test
{
protected:
    SilenceEvidenceTest()
    {
        silent_ = &addSilent(ledger);
        add(ledger, home).lastProgressAt = now;
    }

    PassiveHealth &add(ServiceId service, ZoneId zone)
    {
        PassiveHealth &health = healths_.emplace_back();
        listed.push_back({ .service = service, .zone = zone, .health = &health, .serviceObservedSince = now - 60s });
        return health;
    }

    /// An upstream with all signs of silence.
    PassiveHealth &addSilent(ServiceId service)
    {
        PassiveHealth &health = add(service, home);
        recordRequest(health, settings, 0ms, now - 600ms);
        recordUnanswered(health, UnansweredKind::Data, settings, now - 400ms);
        health.checkRequestedAt = now - 400ms;
        recordCheckResult(health, false, budget, now - 240ms);
        return health;
    }

    PassiveHealth &silentUpstream() { return *silent_; }

    bool isConfirmed() const { return isSilenceConfirmed(listed.front(), listed, settings, {}, now); }

    const PassiveHealthSettings settings;
    const TimePoint now { 100s };
    std::vector<ObservedUpstream> listed;

    EarlyCheckBudget budget { settings };

private:
    std::deque<PassiveHealth> healths_;
    PassiveHealth *silent_ = nullptr;
};

// Other VMs must learn which upstreams crashed, but not from a VM whose own network path may be at fault.
TEST_F(SilenceEvidenceTest, SharesTheSilenceOfAMinorityOfItsOwnZone)
{
    EXPECT_FALSE(isSilenceShared(listed.front(), listed, home, settings, {}, now)) << "one of two";
    add(ledger, home);
    EXPECT_TRUE(isSilenceShared(listed.front(), listed, home, settings, {}, now));
    EXPECT_FALSE(isSilenceShared(listed.front(), listed, away, settings, {}, now)) << "of another zone";
    addSilent(inspection);
    add(ledger, away);
    EXPECT_TRUE(isSilenceShared(listed.front(), listed, home, settings, {}, now)) << "another service, another zone";
    addSilent(ledger);
    EXPECT_FALSE(isSilenceShared(listed.front(), listed, home, settings, {}, now)) << "two of four";
    EXPECT_FALSE(isSilenceShared(listed[1], listed, home, settings, {}, now)) << "it progresses";
}

// Guards healthy upstreams against a VM that reaches none of them, but has so few requests that only one of many seems
// silent at a time.
TEST_F(SilenceEvidenceTest, SharesNoSilenceWhileNothingOfItsZoneProgresses)
{
    for (int i = 0; i < 8; ++i) {
        add(ledger, home);
    }
    listed.erase(listed.begin() + 1);
    EXPECT_FALSE(isSilenceShared(listed.front(), listed, home, settings, {}, now));
    add(ledger, away).lastProgressAt = now;
    PassiveHealth &other = add(inspection, home);
    other.lastProgressAt = silentUpstream().checkRequestedAt;
    EXPECT_FALSE(isSilenceShared(listed.front(), listed, home, settings, {}, now)) << "none since the check";
    other.lastProgressAt = now - 300ms;
    EXPECT_TRUE(isSilenceShared(listed.front(), listed, home, settings, {}, now));
}

// Guards healthy upstreams against a VM on a lossy network, whose packets and checks get lost now and then.
TEST_F(SilenceEvidenceTest, SharesNoSilenceWhileOthersOnlySeemedSilent)
{
    for (int i = 0; i < 8; ++i) {
        add(ledger, home);
    }
    EXPECT_TRUE(isSilenceShared(listed.front(), listed, home, settings, {}, now));
    for (int i = 0; i < 2; ++i) {
        recordProgress(addSilent(ledger), now - 100ms);
    }
    EXPECT_FALSE(isSilenceShared(listed.front(), listed, home, settings, {}, now));
}

// Callers of an upstream that crashed must be told.
TEST_F(SilenceEvidenceTest, ConfirmsTheSilenceOfASingleUpstream)
{
    EXPECT_TRUE(isConfirmed());
    addSilent(inspection);
    addSilent(inspection);
    EXPECT_TRUE(isConfirmed()) << "two upstreams of another service";
}

// Each sign alone also shows at upstreams that serve.
TEST_F(SilenceEvidenceTest, RequiresAllSignsOfTheUpstreamItself)
{
    const PassiveHealth silent = *listed.front().health;
    PassiveHealth changed = silent;
    listed.front().health = &changed;
    EXPECT_TRUE(isConfirmed());
    changed.silentSince = {};
    EXPECT_FALSE(isConfirmed()) << "no failed check";
    changed = silent;
    changed.lastUnansweredDataAt = {};
    EXPECT_FALSE(isConfirmed()) << "no unanswered data";
    changed = silent;
    recordIdle(changed);
    EXPECT_FALSE(isConfirmed()) << "no overdue request";
    changed = silent;
    recordProgress(changed, now);
    EXPECT_FALSE(isConfirmed()) << "progress";
}

// A VM that has just started saw no silence refuted, whatever happens to the service.
TEST_F(SilenceEvidenceTest, WithholdsUntilTheServiceWasObserved)
{
    const SilenceSettings silence;
    listed.front().serviceObservedSince = now - silence.observationTime + 1ms;
    EXPECT_FALSE(isConfirmed());
    listed.front().serviceObservedSince = {};
    EXPECT_FALSE(isConfirmed());
    listed.front().serviceObservedSince = now - silence.observationTime;
    EXPECT_TRUE(isConfirmed());
}

// At the start of an overload, no silence was refuted yet. Several upstreams of a service that look silent at once may
// be overloaded; but if they crashed together, their callers must be told.
TEST_F(SilenceEvidenceTest, RequiresASecondCheckWhileSeveralUpstreamsOfTheServiceLookSilent)
{
    addSilent(ledger);
    EXPECT_FALSE(isConfirmed());
    recordCheckResult(silentUpstream(), false, budget, now - 10ms);
    EXPECT_TRUE(isConfirmed());
    recordProgress(silentUpstream(), now - 5ms);
    EXPECT_EQ(silentUpstream().consecutiveFailedChecks, 0U);
}

// Upstreams that served after all show that silence proves nothing now.
TEST_F(SilenceEvidenceTest, WithholdsWhileOthersRefuteTheirSilence)
{
    recordProgress(addSilent(ledger), now - 100ms);
    EXPECT_TRUE(isConfirmed());
    recordProgress(addSilent(ledger), now - 100ms);
    EXPECT_FALSE(isConfirmed());
}

// Without progress in the zone, the path to it may be impaired.
TEST_F(SilenceEvidenceTest, RequiresProgressInTheZone)
{
    listed[1].zone = away;
    EXPECT_FALSE(isConfirmed());
}

} // namespace
} // namespace boragelug
