#pragma once

#include "core/random.h"
#include "core/time_point.h"
#include "model/peer_message.h"
#include "views/view_staging.h"
#include "views/view_store.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace boragelug
{

/// Part number under which a digest carries how its sender reads the platform: 1 is well, 0 is not.
constexpr std::uint16_t readerReportPart = 0xfe00;
/// Part number under which a digest carries the age of the sender's last word from the platform, in milliseconds.
constexpr std::uint16_t platformAgePart = 0xfe01;
/// First of the part numbers under which a digest carries hashes of member buckets.
constexpr std::uint16_t firstMemberPart = 0xff00;

/// Splits @p delta into messages of at most maxDatagramBytes. Thread-safe.
std::vector<ViewDelta> splitDelta(const ViewDelta &delta);

/// Splits @p parts into digests that fit into datagrams. Each one carries the summary. Thread-safe.
std::vector<ViewDigest>
splitDigest(CatalogueVersion version, std::uint64_t summary, const std::vector<PartDigest> &parts);

/**
 * Spreads adopted states between VMs: digests, pulls and deltas.
 *
 * A digest names the version, a summary hash over all parts and the latest changed parts. A VM that is behind pulls
 * the parts that differ, and asks for the full list only when those don't explain the summary. Not synchronized: one
 * thread at a time.
 */
class Dissemination
{
public:
    /// @p store and @p staging must outlive this.
    Dissemination(const ViewStore &store, ViewStaging &staging);

    /// The digest for a random peer, with the latest @p parts parts.
    ViewDigest digest(std::size_t parts) const;

    /// Takes a digest: aims at a higher state, and answers a lower one with the own digest.
    void handle(const ViewDigest &digest, VmId from, TimePoint now, std::vector<OutgoingMessage> &out);

    /// Answers a pull from the adopted state.
    void handle(const ViewPull &pull, VmId from, std::vector<OutgoingMessage> &out) const;

    /// Takes a delta into the staging area. True when the goal may now be complete.
    bool handle(const ViewDelta &delta, TimePoint now);

    /// Notes that @p from says it holds @p version; asks it for its digest when that is higher, once per second.
    void handlePeerVersion(CatalogueVersion version, VmId from, TimePoint now, std::vector<OutgoingMessage> &out);

    /// Appends pulls for parts that are still needed, with time-outs and back-off.
    void tick(TimePoint now, Random &random, std::vector<OutgoingMessage> &out);

    /// Highest version that any peer has named.
    CatalogueVersion highestPeerVersion() const { return highestPeerVersion_; }

    /// Forgets pulls in progress.
    void reset();

private:
    struct Pull
    {
        TimePoint retryAt;
        std::size_t attempts = 0;
    };

    void addSource(VmId from);
    void pull(std::uint16_t part, TimePoint now, Random &random, std::vector<OutgoingMessage> &out);

    const ViewStore &store_;
    ViewStaging &staging_;
    CatalogueVersion highestPeerVersion_;
    CatalogueVersion sourcesVersion_;
    std::vector<VmId> sources_;
    std::map<std::uint16_t, Pull> pulls_;
    std::map<VmId, TimePoint> lastAnsweredAt_;
    TimePoint nextDigestRequest_;
    bool fullDigestRequested_ = false;
    TimePoint fullDigestRetryAt_;
};

} // namespace boragelug
