#include "views/dissemination.h"

#include "views/message_size.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace boragelug
{

namespace
{

// Limit of VMs to pull parts from. A VM that joins without the configuration service spreads its pulls over them.
constexpr std::size_t maxSources = 8;
// Limit of pulls in progress: two for each source. At the largest catalogue size, two parts take about two seconds of
// a source's send budget.
constexpr std::size_t maxPulls = 16;
constexpr Duration firstRetry = std::chrono::milliseconds(700);
constexpr std::size_t maxRetryDoublings = 4;
constexpr Duration digestRequestPeriod = std::chrono::seconds(1);
// A peer with a lower version is sent one digest a second at most, so that VMs don't flood each other with digests
// after a partition has healed.
constexpr Duration answerPeriod = std::chrono::seconds(1);
constexpr std::size_t maxAnsweredPeers = 1024;

ViewDigest emptyDigest(CatalogueVersion version, std::uint64_t summary)
{
    return { version, { { summaryPart, version.value, summary } } };
}

} // namespace

std::vector<ViewDelta> splitDelta(const ViewDelta &delta)
{
    std::vector<ViewDelta> pieces;
    ViewDelta piece { delta.part, delta.fromVersion, delta.toVersion, {} };
    const std::size_t base = wireSize(PeerMessage(piece));
    std::size_t bytes = base;
    for (const ViewItem &item : delta.items) {
        const std::size_t itemBytes = wireSize(item);
        if (!piece.items.empty() && bytes + itemBytes > maxDatagramBytes) {
            pieces.push_back(std::exchange(piece, { delta.part, delta.fromVersion, delta.toVersion, {} }));
            bytes = base;
        }
        piece.items.push_back(item);
        bytes += itemBytes;
    }
    pieces.push_back(std::move(piece));
    return pieces;
}

std::vector<ViewDigest>
splitDigest(CatalogueVersion version, std::uint64_t summary, const std::vector<PartDigest> &parts)
{
    std::vector<ViewDigest> digests;
    ViewDigest digest = emptyDigest(version, summary);
    for (const PartDigest &part : parts) {
        digest.parts.push_back(part);
        if (wireSize(PeerMessage(digest)) > maxDatagramBytes) {
            digest.parts.pop_back();
            digests.push_back(std::exchange(digest, emptyDigest(version, summary)));
            digest.parts.push_back(part);
        }
    }
    digests.push_back(std::move(digest));
    return digests;
}

Dissemination::Dissemination(const ViewStore &store, ViewStaging &staging)
    : store_(store)
    , staging_(staging)
{ }

ViewDigest Dissemination::digest(std::size_t parts) const
{
    ViewDigest digest = emptyDigest(store_.version(), store_.summary());
    const std::vector<PartDigest> latest = store_.latestParts(parts);
    digest.parts.insert(digest.parts.end(), latest.begin(), latest.end());
    return digest;
}

void Dissemination::addSource(VmId from)
{
    if (sourcesVersion_ != staging_.goalVersion()) {
        // Sources of the previous goal may not hold the new one; a pull from them would time out.
        sourcesVersion_ = staging_.goalVersion();
        sources_.clear();
    }
    std::erase(sources_, from);
    sources_.push_back(from);
    if (sources_.size() > maxSources) {
        sources_.erase(sources_.begin());
    }
}

void Dissemination::handle(const ViewDigest &digest, VmId from, TimePoint now, std::vector<OutgoingMessage> &out)
{
    highestPeerVersion_ = std::max(highestPeerVersion_, digest.catalogueVersion);
    if (digest.catalogueVersion < store_.version()) {
        TimePoint &lastAnsweredAt = lastAnsweredAt_.try_emplace(from, now - answerPeriod).first->second;
        if (now - lastAnsweredAt >= answerPeriod) {
            lastAnsweredAt = now;
            constexpr std::size_t answerParts = 8;
            out.push_back({ from, this->digest(answerParts) });
        }
        if (lastAnsweredAt_.size() > maxAnsweredPeers) {
            lastAnsweredAt_.clear();
        }
        return;
    }
    const CatalogueVersion goalBefore = staging_.goalVersion();
    const bool goalExtended = staging_.setGoalFromDigest(digest, now);
    if (staging_.goalVersion() != goalBefore) {
        fullDigestRequested_ = false;
    }
    if (goalExtended || (staging_.hasGoal() && digest.catalogueVersion >= staging_.goalVersion())) {
        addSource(from);
    }
}

void Dissemination::handle(const ViewPull &pull, VmId from, std::vector<OutgoingMessage> &out) const
{
    if (pull.part == summaryPart) {
        std::vector<PartDigest> parts = store_.latestParts(store_.parts().size());
        std::erase_if(parts, [&pull](const PartDigest &part) { return part.version <= pull.sinceVersion; });
        for (ViewDigest &digest : splitDigest(store_.version(), store_.summary(), parts)) {
            out.push_back({ from, std::move(digest) });
        }
        return;
    }
    const PartState *state = store_.part(pull.part);
    if (state == nullptr) {
        return;
    }
    for (ViewDelta &piece : splitDelta(deltaSince(*state, pull.part, pull.sinceVersion))) {
        out.push_back({ from, std::move(piece) });
    }
}

bool Dissemination::handle(const ViewDelta &delta, TimePoint now)
{
    if (!staging_.stageDelta(delta, now)) {
        return false;
    }
    pulls_.erase(delta.part);
    return true;
}

void Dissemination::handlePeerVersion(CatalogueVersion version,
                                      VmId from,
                                      TimePoint now,
                                      std::vector<OutgoingMessage> &out)
{
    highestPeerVersion_ = std::max(highestPeerVersion_, version);
    const bool covered = staging_.hasGoal() && staging_.goalVersion() >= version;
    if (!store_.isAdoptable(version) || covered || now < nextDigestRequest_) {
        return;
    }
    nextDigestRequest_ = now + digestRequestPeriod;
    // The peer answers this VM's lower version with its own digest.
    out.push_back({ from, emptyDigest(store_.version(), store_.summary()) });
}

void Dissemination::pull(std::uint16_t part, TimePoint now, Random &random, std::vector<OutgoingMessage> &out)
{
    Pull &state = pulls_[part];
    // The first pull requests only the changes. If the result doesn't match the expected content hash, later pulls
    // request the whole part.
    const PartState *stored = store_.part(part);
    const std::uint64_t since = state.attempts == 0 && stored != nullptr ? stored->version : 0;
    const Duration wait = firstRetry * (1U << std::min(state.attempts, maxRetryDoublings));
    state.retryAt = now + wait + Duration(static_cast<Duration::rep>(random.below(wait.count() / 2)));
    ++state.attempts;
    out.push_back({ sources_[random.below(sources_.size())], ViewPull { part, since } });
}

void Dissemination::tick(TimePoint now, Random &random, std::vector<OutgoingMessage> &out)
{
    if (!staging_.hasGoal() || staging_.isFromIndex() || sources_.empty()) {
        return;
    }
    const bool full = staging_.needsFullDigest();
    if (full && (!fullDigestRequested_ || now >= fullDigestRetryAt_)) {
        // The first request lists only parts that are newer than this VM's version. Two VMs may hold the same content
        // at different part versions; if these parts don't suffice, the next request lists all.
        const std::uint64_t since = fullDigestRequested_ ? 0 : store_.version().value;
        fullDigestRequested_ = true;
        fullDigestRetryAt_ = now + 2 * firstRetry;
        out.push_back({ sources_[random.below(sources_.size())], ViewPull { summaryPart, since } });
    }
    const std::vector<std::uint16_t> needed = staging_.neededParts(maxPulls);
    std::erase_if(pulls_, [&needed](const auto &pull) {
        return std::find(needed.begin(), needed.end(), pull.first) == needed.end();
    });
    for (const std::uint16_t part : needed) {
        const auto it = pulls_.find(part);
        if (it == pulls_.end() || now >= it->second.retryAt) {
            pull(part, now, random, out);
        }
    }
}

void Dissemination::reset()
{
    pulls_.clear();
    sources_.clear();
    fullDigestRequested_ = false;
}

} // namespace boragelug
