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

/// Part number of a reader's report in a digest: version 1 if its answers from the configuration service are current,
/// 0 if not.
constexpr std::uint16_t readerReportPart = 0xfe00;
/// Part number in a digest whose version is the time in milliseconds since the sender's zone last had a usable answer
/// from the configuration service.
constexpr std::uint16_t platformAgePart = 0xfe01;
/// First of the part numbers of member bucket hashes in a digest.
constexpr std::uint16_t firstMemberPart = 0xff00;

/// Splits @p delta into messages of at most maxDatagramBytes. Thread-safe.
std::vector<ViewDelta> splitDelta(const ViewDelta &delta);

/// Splits @p parts into digests that fit into datagrams. Each digest carries the summary. Thread-safe.
std::vector<ViewDigest>
splitDigest(CatalogueVersion version, std::uint64_t summary, const std::vector<PartDigest> &parts);

/**
 * Replicates the adopted state between VMs with digests, pulls and deltas.
 *
 * A digest carries the version, a summary hash over all parts and the most recently changed parts. A VM with a lower
 * version pulls the parts that differ, and requests the full list of parts only if the result would not match the
 * summary hash. Not synchronized: one thread at a time.
 */
class Dissemination
{
public:
    /// @p store and @p staging must outlive this.
    Dissemination(const ViewStore &store, ViewStaging &staging);

    /// A digest of the adopted state with the @p parts most recently changed parts.
    ViewDigest digest(std::size_t parts) const;

    /// Handles a digest: a higher version may become the goal of the staging area, a lower one is answered with this
    /// VM's digest.
    void handle(const ViewDigest &digest, VmId from, TimePoint now, std::vector<OutgoingMessage> &out);

    /// Answers a pull with deltas or digests of the adopted state.
    void handle(const ViewPull &pull, VmId from, std::vector<OutgoingMessage> &out) const;

    /// Adds a delta to the staging area. True if it completed a part, so that the goal may be complete.
    bool handle(const ViewDelta &delta, TimePoint now);

    /// Handles the version that @p from reports to hold. Requests its digest if that version could be adopted and is
    /// not staged already, at most once a second.
    void handlePeerVersion(CatalogueVersion version, VmId from, TimePoint now, std::vector<OutgoingMessage> &out);

    /// Appends pulls for parts that are still missing; repeats them with backoff.
    void tick(TimePoint now, Random &random, std::vector<OutgoingMessage> &out);

    /// Highest version that any peer has reported.
    CatalogueVersion highestPeerVersion() const { return highestPeerVersion_; }

    /// Discards pulls in progress and their sources.
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
