#include "directory_relay_fixture.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;
using namespace relay;

/// A directory whose listings have several pages, with changes between them, a relay that reads it and a VM that
/// follows the relay.
class PagesSimulation
{
public:
    explicit PagesSimulation(std::uint64_t seed)
        : random_(seed)
    {
        for (std::uint64_t id = 1; id <= hostCount; ++id) {
            change(id);
        }
        list();
        follow();
    }

    void run()
    {
        for (int step = 0; step < 100; ++step) {
            now_ += 600ms;
            changeSome();
            if (random_.chance(0.3)) {
                relay_.answer(
                    DirectoryCall::Kind::Watch, DirectoryFailure { DirectoryError::HistoryLost, "compacted" }, now_);
                list();
            } else {
                relay_.answer(
                    DirectoryCall::Kind::Watch, changes(since(relay_.reader.syncedRevision()), revision_), now_);
            }
            follow();
        }
    }

    /// Times at which the follower lacked a change up to the revision that it was given.
    std::size_t missing() const { return missing_; }
    std::size_t pages() const { return pages_; }

private:
    static constexpr std::uint64_t hostCount = 12;

    void change(std::uint64_t id)
    {
        const bool isRemoved = random_.chance(0.2);
        const auto state = random_.chance(0.5) ? UpstreamState::Active : UpstreamState::Draining;
        ++revision_;
        history_.push_back(isRemoved ? removed(id, revision_) : host(id, revision_, state));
    }

    void changeSome()
    {
        for (std::uint64_t n = random_.below(3); n > 0; --n) {
            change(1 + random_.below(hostCount));
        }
    }

    std::vector<DirectoryItem> since(DirectoryRevision after) const
    {
        std::vector<DirectoryItem> items;
        std::copy_if(history_.begin(), history_.end(), std::back_inserter(items), [&](const DirectoryItem &item) {
            return item.revision > after;
        });
        return items;
    }

    /// The latest item of each key up to @p revision.
    std::map<std::string, DirectoryItem> stateAt(std::uint64_t revision) const
    {
        std::map<std::string, DirectoryItem> state;
        for (const DirectoryItem &item : history_) {
            if (item.revision.value <= revision) {
                state[item.key] = item;
            }
        }
        return state;
    }

    void list()
    {
        const std::size_t perPage = 1 + hostCount / (1 + random_.below(4));
        std::string after;
        for (bool more = true; more;) {
            if (random_.chance(0.2)) {
                relay_.answer(DirectoryCall::Kind::List, DirectoryFailure { DirectoryError::TimedOut, "late" }, now_);
                now_ += 2s;
            }
            DirectoryPage page { .items = {}, .more = false, .lastKey = {}, .asOf = { revision_ } };
            if (after.empty()) {
                page.items.push_back(catalogue(1, 1));
            }
            for (const auto &[key, item] : stateAt(revision_)) {
                if (key <= after || std::holds_alternative<RemovedRecord>(item.content)) {
                    continue;
                }
                page.more = page.items.size() >= perPage;
                if (page.more) {
                    break;
                }
                page.items.push_back(item);
                page.lastKey = key;
            }
            more = page.more;
            after = page.lastKey;
            relay_.answer(DirectoryCall::Kind::List, page, now_);
            ++pages_;
            follow();
            changeSome();
        }
    }

    void follow()
    {
        relay_.relay.handleRequest(FollowerId { 1 },
                                   { .after = syncedTo_,
                                     .catalogue = follower_.catalogueVersion(),
                                     .wait = 0ms,
                                     .listening = plainVm,
                                     .zone = "kgd-north" },
                                   now_);
        for (const RelayAnswer &answer : relay_.relay.takeAnswers(now_, relay_.random)) {
            const DirectoryChanges records = wholeAnswer(answer);
            if (records.complete) {
                follower_.beginListing(records.asOf);
                follower_.applyPage({ .items = records.items, .more = false, .lastKey = {}, .asOf = records.asOf },
                                    now_);
                follower_.endListing(now_);
            } else {
                follower_.applyChanges(records, now_);
            }
            syncedTo_ = std::max(syncedTo_, records.asOf);
        }
        check();
    }

    // The follower may know later states of a host than those up to its revision, but no earlier ones.
    void check()
    {
        std::map<std::string, UpstreamState> known;
        for (const DirectoryUpstream &upstream : follower_.publish()->upstreams) {
            if (upstream.listing == Listing::Listed) {
                known["hosts/" + std::to_string(upstream.upstream.id.value)] = upstream.upstream.state;
            }
        }
        for (std::uint64_t id = 1; id <= hostCount; ++id) {
            const std::string key = "hosts/" + std::to_string(id);
            bool allowed = false;
            for (std::uint64_t revision = syncedTo_.value; revision <= revision_ && !allowed; ++revision) {
                const auto state = stateAt(revision);
                const auto item = state.find(key);
                const auto *record = item != state.end() ? std::get_if<UpstreamRecord>(&item->second.content) : nullptr;
                const auto found = known.find(key);
                allowed =
                    record == nullptr ? found == known.end() : found != known.end() && found->second == record->state;
            }
            missing_ += allowed ? 0 : 1;
        }
    }

    Random random_;
    TimePoint now_ { 100s };
    std::uint64_t revision_ = 1;
    std::vector<DirectoryItem> history_;
    Vm relay_ { firstRelay };
    DirectoryMirror follower_ { { "kgd-north" } };
    DirectoryRevision syncedTo_;
    std::size_t missing_ = 0;
    std::size_t pages_ = 0;
};

// Guards followers of a relay that lists again in several pages: they must not be given a revision before the relay has
// all records up to it, or they never get those on later pages.
TEST(DirectoryPagesTest, FollowersMissNothingOfAListingInPages)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        PagesSimulation simulation(seed);
        simulation.run();
        EXPECT_EQ(simulation.missing(), 0U) << "seed " << seed;
        EXPECT_GT(simulation.pages(), 40U) << "seed " << seed;
    }
}

} // namespace
} // namespace boragelug
