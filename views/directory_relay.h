#pragma once

#include "core/random.h"
#include "model/directory_record.h"
#include "views/directory_mirror.h"
#include "views/directory_reader.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace boragelug
{

/// Connection of a VM that follows this one.
using FollowerId = StrongType<struct FollowerIdTag, std::uint64_t>;

/// Limits and retention times of a DirectoryRelay.
struct RelaySettings
{
    /// Maximum number of followers. Further VMs are referred to another relay or to a follower of this VM, so that the
    /// load of a VM doesn't grow with the fleet: with 32 followers each, three levels serve 32,768 VMs.
    std::size_t maxFollowers = 32;
    /// A VM without a request for this long no longer counts as a follower. Followers ask about twice a second, or
    /// every 3 s while this VM isn't up to date.
    Duration followerRetention = std::chrono::seconds(10);
    /// How long records are used for several answers. They contain how much longer upstreams are slow after their
    /// start, which may be wrong by this much.
    Duration cacheTime = std::chrono::milliseconds(500);
    /// A follower gets an unchanged list of slow upstreams again after this long; the list must reach it before
    /// SpeedSettings::listRetention has passed.
    Duration slowRefresh = std::chrono::milliseconds(1500);
    /// How long answers report an outage of the directory after its end: as long as records may lapse because of it.
    Duration outageRetention = std::chrono::seconds(5);
};

/// Records of the directory; followers that ask for the same ones share them.
using SharedRecords = std::shared_ptr<const std::vector<DirectoryItem>>;

/// An answer to send to one follower.
struct RelayAnswer
{
    FollowerId follower;
    /// The answer without its records.
    DirectoryChanges changes;
    /// Null if there are none.
    SharedRecords records;
};

/**
 * Passes directory changes on to the VMs that follow this one.
 *
 * Answers carry the staleness of this VM's records, so that a follower notices that a relay can't reach the directory,
 * also through a chain of VMs.
 * Does no I/O. Not synchronized: one thread at a time; times must not go back.
 */
class DirectoryRelay
{
public:
    /// @p mirror and @p reader must outlive the relay.
    DirectoryRelay(const DirectoryMirror &mirror, const DirectoryReader &reader, const RelaySettings &settings);

    /// Queues a request; takeAnswers() returns its answer. A later request of the same follower replaces it.
    void handleRequest(FollowerId follower, const FollowRequest &request, TimePoint now);

    /// Discards what is known of a follower whose connection was closed.
    void handleDisconnect(FollowerId follower)
    {
        waiting_.erase(follower);
        sentSlow_.erase(follower);
    }

    /// Returns the answers that are due. Call it after each request, each answer of the directory and each tick.
    std::vector<RelayAnswer> takeAnswers(TimePoint now, Random &random);

    /// Sets the slow upstreams that answers contain from now on; null if this VM learns none. A follower gets them with
    /// its next answer if they differ from those it got last, or if RelaySettings::slowRefresh has passed.
    void setSlowUpstreams(SharedSlowUpstreams upstreams) { slowUpstreams_ = std::move(upstreams); }

    /// Number of VMs that follow this one.
    std::size_t followers() const { return followers_.size(); }

private:
    struct Waiting
    {
        FollowRequest request;
        TimePoint deadline;
        /// Revision up to which the mirror was checked and had nothing new for the follower.
        DirectoryRevision checkedRevision;
    };

    struct Follower
    {
        TimePoint lastRequest;
        std::string zone;
    };

    /// The list of slow upstreams that a follower got last.
    struct SentSlow
    {
        SharedSlowUpstreams upstreams;
        TimePoint at;
    };

    bool acceptsFollower(const Endpoint &listening) const;
    /// The VM that a follower beyond the limit is referred to. Precondition: there is a follower.
    Endpoint referral(const FollowRequest &request, Random &random) const;
    RelayAnswer makeAnswer(FollowerId follower, const FollowRequest &request, TimePoint now);
    /// The slow upstreams to send to @p follower now; null if it has them. Notes them as sent.
    SharedSlowUpstreams takeSlowFor(FollowerId follower, TimePoint now);
    SharedRecords recordsFor(const FollowRequest &request, TimePoint now);

    const DirectoryMirror &mirror_;
    const DirectoryReader &reader_;
    RelaySettings settings_;
    std::map<FollowerId, Waiting> waiting_;
    /// Records made for the requests at one revision, by what the followers had, and when they were made.
    std::map<std::pair<DirectoryRevision, CatalogueVersion>, SharedRecords> cachedRecords_;
    DirectoryRevision cachedRevision_;
    TimePoint cachedAt_;
    SharedSlowUpstreams slowUpstreams_;
    /// By connection, so that a follower that connects again gets the list at once.
    std::map<FollowerId, SentSlow> sentSlow_;
    /// By the address at which they serve their own followers.
    std::map<Endpoint, Follower> followers_;
};

} // namespace boragelug
