#pragma once

#include "core/random.h"
#include "model/directory_record.h"
#include "views/directory_mirror.h"
#include "views/directory_reader.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace boragelug
{

/// A connection over which another VM asks for what this one read.
using FollowerId = StrongType<struct FollowerIdTag, std::uint64_t>;

/// Bounds of a DirectoryRelay.
struct RelaySettings
{
    /// VMs that one passes on to. Beyond it a follower is named instead, so that the effort of a VM doesn't grow with
    /// the fleet: 32 followers each make three levels for 32,768 VMs.
    std::size_t maxFollowers = 32;
    /// A VM that hasn't asked for this long no longer follows; it asks about twice a second, or every 3 s while this VM
    /// isn't up to date.
    Duration followerRetention = std::chrono::seconds(10);
    /// How long followers are told of an outage of the directory: as long as records may lapse after it.
    Duration outageRetention = std::chrono::seconds(5);
};

/// An answer to send to one follower.
struct RelayAnswer
{
    FollowerId follower;
    DirectoryChanges changes;
};

/**
 * Passes on what this VM knows of the directory to VMs that ask for it.
 *
 * Answers say how old they are, so that a follower notices a relay that lost the directory, also through several VMs.
 * Does no I/O. Not synchronized: one thread at a time; times must not go back.
 */
class DirectoryRelay
{
public:
    /// @p mirror and @p reader must outlive the relay.
    DirectoryRelay(const DirectoryMirror &mirror, const DirectoryReader &reader, const RelaySettings &settings);

    /// Takes a request; takeAnswers() returns its answer. A further request of the same follower replaces it.
    void handleRequest(FollowerId follower, const FollowRequest &request, TimePoint now);

    /// The follower's connection is gone.
    void handleDisconnect(FollowerId follower) { waiting_.erase(follower); }

    /// Answers that are due. To be asked after each request, each answer of the directory and each tick.
    std::vector<RelayAnswer> takeAnswers(TimePoint now, Random &random);

    /// VMs that follow this one.
    std::size_t followers() const { return followers_.size(); }

private:
    struct Waiting
    {
        FollowRequest request;
        TimePoint deadline;
        /// Revision up to which there was nothing new for the follower.
        DirectoryRevision checkedRevision;
    };

    bool acceptsFollower(const Endpoint &listening) const;
    /// Precondition: there is one.
    Endpoint randomFollower(Random &random) const;
    DirectoryChanges makeAnswer(const FollowRequest &request, TimePoint now) const;

    const DirectoryMirror &mirror_;
    const DirectoryReader &reader_;
    RelaySettings settings_;
    std::map<FollowerId, Waiting> waiting_;
    /// When each VM asked last, by the address where it passes on itself.
    std::map<Endpoint, TimePoint> followers_;
};

} // namespace boragelug
