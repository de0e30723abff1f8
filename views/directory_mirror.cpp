#include "views/directory_mirror.h"

#include <algorithm>
#include <utility>

namespace boragelug
{
namespace
{

// Maximum number of removed records whose revisions are retained, so that a late page of a listing can't add an older
// revision again.
constexpr std::size_t maxRetainedRemovals = 10'000;

// Limit of separate gaps in the history; the oldest ones are joined.
constexpr std::size_t maxHistoryGaps = 16;

MirrorChange makeChange(MirrorChange::Kind kind, const DirectoryItem &item, std::string detail)
{
    return { .kind = kind, .key = item.key, .upstream = {}, .revision = item.revision, .detail = std::move(detail) };
}

} // namespace

DirectoryMirror::DirectoryMirror(MirrorSettings settings)
    : settings_(std::move(settings))
{
    zoneNumber(settings_.zone);
}

ServiceId DirectoryMirror::serviceNumber(const std::string &name)
{
    const auto next = static_cast<std::uint32_t>(services_.size() + 1);
    return services_.try_emplace(name, ServiceId { next }).first->second;
}

ZoneId DirectoryMirror::zoneNumber(const std::string &name)
{
    const auto next = static_cast<std::uint16_t>(zones_.size() + 1);
    return zones_.try_emplace(name, ZoneId { next }).first->second;
}

void DirectoryMirror::beginListing(DirectoryRevision asOf)
{
    listedRevisions_.clear();
    listedPages_.clear();
    listedAsOf_ = asOf;
    if (!gapStart_) {
        gapStart_ = complete_ ? revision_ : DirectoryRevision {};
    }
}

void DirectoryMirror::addHistoryGap(const HistoryGap &gap)
{
    gaps_.push_back(gap);
    if (gaps_.size() > maxHistoryGaps) {
        gaps_[1].from = gaps_[0].from;
        gaps_.erase(gaps_.begin());
    }
}

bool DirectoryMirror::knowsRemovalsSince(DirectoryRevision after) const
{
    if (DirectoryRevision {} < after && after < evacuations_.discardedRevision()) {
        return false;
    }
    return std::none_of(
        gaps_.begin(), gaps_.end(), [&](const HistoryGap &gap) { return gap.from < after && after < gap.to; });
}

std::vector<MirrorChange> DirectoryMirror::applyPage(const DirectoryPage &page, TimePoint now)
{
    std::vector<MirrorChange> changes;
    listedPages_.emplace_back(page.lastKey, page.asOf);
    for (const DirectoryItem &item : page.items) {
        listedRevisions_[item.key] = item.revision;
        apply(item, now, changes);
    }
    return changes;
}

DirectoryRevision DirectoryMirror::pageRevision(const std::string &key) const
{
    for (const auto &[lastKey, asOf] : listedPages_) {
        if (key <= lastKey) {
            return asOf;
        }
    }
    return listedPages_.empty() ? listedAsOf_ : listedPages_.back().second;
}

std::vector<MirrorChange> DirectoryMirror::endListing(TimePoint now)
{
    std::vector<MirrorChange> changes;
    std::vector<std::pair<std::string, DirectoryRevision>> missing;
    for (const auto &[key, known] : upstreams_) {
        // A later record than the page was written after it, and the watch reports its removal.
        const DirectoryRevision readAt = pageRevision(key);
        const bool isCovered = known.revision <= readAt;
        if (isCovered && !listedRevisions_.contains(key) && known.status.listing == Listing::Listed) {
            // Followers have the record's last revision already, and may have the listing's too if the record was
            // removed between its pages.
            missing.emplace_back(key, readAt);
        }
    }
    for (const auto &[key, revision] : missing) {
        markUnlisted(key, revision, now, changes);
    }
    endUnlistedEvacuations(now, changes);
    listedRevisions_.clear();
    if (gapStart_) {
        addHistoryGap({ .from = *gapStart_, .to = listedAsOf_ });
        gapStart_.reset();
    }
    complete_ = true;
    return changes;
}

std::vector<MirrorChange> DirectoryMirror::applyChanges(const DirectoryChanges &answer, TimePoint now)
{
    std::vector<MirrorChange> changes;
    for (const DirectoryItem &item : answer.items) {
        apply(item, now, changes);
    }
    revision_ = std::max(revision_, answer.asOf);
    return changes;
}

void DirectoryMirror::apply(const DirectoryItem &item, TimePoint now, std::vector<MirrorChange> &changes)
{
    revision_ = std::max(revision_, item.revision);
    if (const auto *catalogue = std::get_if<CatalogueRecord>(&item.content)) {
        const CatalogueMirror::Adoption adoption = catalogue_.adopt(item, *catalogue);
        recordCatalogue(item, adoption, catalogue->version, changes);
        for (std::size_t i = 0; adoption == CatalogueMirror::Adoption::Adopted && i < catalogue->problems.size(); ++i) {
            changes.push_back(makeChange(MirrorChange::Kind::RecordUnreadable, item, catalogue->problems[i]));
        }
    } else if (const auto *delta = std::get_if<CatalogueDelta>(&item.content)) {
        recordCatalogue(item, catalogue_.adopt(item, *delta), delta->version, changes);
    } else if (const auto *upstream = std::get_if<UpstreamRecord>(&item.content)) {
        applyUpstream(item, *upstream, now, changes);
    } else if (const auto *evacuation = std::get_if<EvacuationRecord>(&item.content)) {
        recordEvacuation(item, evacuations_.apply(item.key, item.revision, *evacuation), now, changes);
    } else if (std::holds_alternative<RemovedRecord>(item.content)) {
        recordEvacuation(item, evacuations_.remove(item.key, item.revision), now, changes);
        markUnlisted(item.key, item.revision, now, changes);
    } else {
        const std::string &reason = std::get<UnreadableRecord>(item.content).reason;
        const auto known = upstreams_.find(item.key);
        if (known != upstreams_.end() && known->second.status.listing != Listing::Gone) {
            dispute(known->second, item, reason, now, changes);
        } else {
            changes.push_back(makeChange(MirrorChange::Kind::RecordUnreadable, item, reason));
        }
    }
}

void DirectoryMirror::dispute(KnownUpstream &known,
                              const DirectoryItem &item,
                              const std::string &reason,
                              TimePoint now,
                              std::vector<MirrorChange> &changes)
{
    if (item.revision <= known.revision || (known.disputed && item.revision <= known.disputed->revision)) {
        return;
    }
    known.disputedSince = known.disputed ? known.disputedSince : now;
    known.disputed = item;
    changes.push_back(makeChange(MirrorChange::Kind::RecordUnreadable, item, reason));
}

std::string DirectoryMirror::reasonToDispute(const KnownUpstream &known, const UpstreamRecord &record) const
{
    if (known.status.listing == Listing::Gone) {
        return {};
    }
    if (record.incarnation < known.record.incarnation) {
        return "the record is of an earlier start of the upstream";
    }
    const bool isForeign = record.service != known.record.service && !isInCatalogue(record.service);
    return isForeign ? "no entry of the catalogue uses the record's service" : "";
}

bool DirectoryMirror::isInCatalogue(const std::string &service) const
{
    return !hasCatalogue() || catalogueServices_.contains(service);
}

void DirectoryMirror::recordCatalogue(const DirectoryItem &item,
                                      CatalogueMirror::Adoption adoption,
                                      CatalogueVersion version,
                                      std::vector<MirrorChange> &changes)
{
    switch (adoption) {
    case CatalogueMirror::Adoption::AlreadyKnown:
        return;
    case CatalogueMirror::Adoption::Older:
    case CatalogueMirror::Adoption::WrongBase:
        changes.push_back(makeChange(MirrorChange::Kind::CatalogueIgnored, item, std::to_string(version.value)));
        return;
    case CatalogueMirror::Adoption::Adopted:
        publishedEntries_.reset();
        published_.reset();
        catalogueServices_.clear();
        for (const EntryRecord &entry : catalogue_.entries()) {
            for (const ServiceShare &share : entry.services) {
                catalogueServices_.insert(share.service);
            }
        }
        changes.push_back(makeChange(MirrorChange::Kind::CatalogueAdopted, item, std::to_string(version.value)));
        return;
    }
}

void DirectoryMirror::recordEvacuation(const DirectoryItem &item,
                                       EvacuationMirror::Change change,
                                       TimePoint now,
                                       std::vector<MirrorChange> &changes)
{
    using Change = EvacuationMirror::Change;
    if (change == Change::None) {
        return;
    }
    if (change == Change::TooMany) {
        changes.push_back(makeChange(MirrorChange::Kind::RecordUnreadable, item, "too many evacuations"));
        return;
    }
    published_.reset();
    const std::string zone = evacuations_.zoneOf(item.key);
    if (change == Change::Ended && !evacuations_.isEvacuated(zone)) {
        assumeCold(zone, item.revision, now);
    }
    const auto kind = change == Change::Began ? MirrorChange::Kind::ZoneEvacuated : MirrorChange::Kind::ZoneRestored;
    changes.push_back(makeChange(kind, item, isKnownZone(zone) ? zone : zone + " (no upstream is in this zone)"));
}

void DirectoryMirror::assumeCold(const std::string &zone, DirectoryRevision restoredAt, TimePoint now)
{
    std::map<std::string, Duration> coldStarts;
    for (const ServiceRecord &service : catalogue_.services()) {
        coldStarts[service.name] = service.coldStart;
    }
    for (auto &[key, known] : upstreams_) {
        const auto found = coldStarts.find(known.record.service);
        if (found != coldStarts.end() && known.record.zone == zone && known.revision < restoredAt) {
            known.status.coldUntil = std::max(known.status.coldUntil, now + found->second);
        }
    }
}

bool DirectoryMirror::isKnownZone(const std::string &zone) const
{
    return std::any_of(
        upstreams_.begin(), upstreams_.end(), [&](const auto &known) { return known.second.record.zone == zone; });
}

void DirectoryMirror::endUnlistedEvacuations(TimePoint now, std::vector<MirrorChange> &changes)
{
    for (const auto &[key, revision] : evacuations_.inEffect()) {
        const DirectoryRevision readAt = pageRevision(key);
        if (revision <= readAt && !listedRevisions_.contains(key)) {
            const DirectoryItem removal { .key = key, .revision = readAt, .content = RemovedRecord {} };
            recordEvacuation(removal, evacuations_.remove(key, readAt), now, changes);
        }
    }
}

void DirectoryMirror::applyUpstream(const DirectoryItem &item,
                                    const UpstreamRecord &record,
                                    TimePoint now,
                                    std::vector<MirrorChange> &changes)
{
    const auto removed = removedRevisions_.find(item.key);
    if (removed != removedRevisions_.end() && item.revision <= removed->second) {
        return;
    }
    const auto found = upstreams_.find(item.key);
    if (found != upstreams_.end()) {
        KnownUpstream &known = found->second;
        if (item.revision <= known.revision || (known.disputed && item.revision <= known.disputed->revision)) {
            return;
        }
        if (const std::string reason = reasonToDispute(known, record); !reason.empty()) {
            dispute(known, item, reason, now, changes);
            return;
        }
    }
    adopt(item, record, now, changes);
}

void DirectoryMirror::adopt(const DirectoryItem &item,
                            const UpstreamRecord &record,
                            TimePoint now,
                            std::vector<MirrorChange> &changes)
{
    const auto found = upstreams_.find(item.key);
    DirectoryUpstream status;
    status.upstream = { .id = record.id,
                        .incarnation = record.incarnation,
                        .service = serviceNumber(record.service),
                        .zone = zoneNumber(record.zone),
                        .tunnelEndpoint = record.address,
                        .httpEndpoint = record.address,
                        .state = record.state };
    status.slots = record.slots;
    status.knownSince = complete_ ? now : TimePoint {};
    status.coldUntil = now + record.coldLeft;
    const bool same = found != upstreams_.end() && found->second.status.upstream.incarnation == record.incarnation;
    const bool wasDraining = same && found->second.status.upstream.state != UpstreamState::Active;
    if (same) {
        status.knownSince = found->second.status.knownSince;
    } else if (found != upstreams_.end()) {
        retireIncarnation(found->second, now);
    }
    std::erase_if(earlierIncarnations_, [&](const DirectoryUpstream &earlier) {
        return earlier.upstream.id == record.id && earlier.upstream.incarnation == record.incarnation;
    });
    upstreams_[item.key] = {
        .revision = item.revision, .status = status, .record = record, .disputed = {}, .disputedSince = {}
    };
    published_.reset();
    const bool draining = record.state != UpstreamState::Active;
    if (!same || (draining && !wasDraining)) {
        MirrorChange change = makeChange(
            draining ? MirrorChange::Kind::UpstreamDraining : MirrorChange::Kind::UpstreamAppeared, item, record.zone);
        change.upstream = record.id;
        changes.push_back(std::move(change));
    }
}

void DirectoryMirror::markUnlisted(const std::string &key,
                                   DirectoryRevision revision,
                                   TimePoint now,
                                   std::vector<MirrorChange> &changes)
{
    const auto found = upstreams_.find(key);
    if (found == upstreams_.end() || revision < found->second.revision
        || found->second.status.listing != Listing::Listed) {
        return;
    }
    DirectoryUpstream &status = found->second.status;
    const bool afterOutage = outageEnd_ && now - *outageEnd_ < settings_.lapseGrace;
    const bool lapsed = afterOutage && status.upstream.state == UpstreamState::Active;
    status.listing = lapsed ? Listing::Lapsed : Listing::Gone;
    status.vanishedAt = now;
    found->second.revision = revision;
    found->second.disputed.reset();
    published_.reset();
    changes.push_back({ .kind = lapsed ? MirrorChange::Kind::UpstreamLapsed : MirrorChange::Kind::UpstreamGone,
                        .key = key,
                        .upstream = status.upstream.id,
                        .revision = revision,
                        .detail = {} });
}

void DirectoryMirror::retireIncarnation(const KnownUpstream &known, TimePoint now)
{
    DirectoryUpstream earlier = known.status;
    if (earlier.listing != Listing::Gone) {
        earlier.listing = Listing::Gone;
        earlier.vanishedAt = now;
    }
    earlierIncarnations_.push_back(earlier);
}

std::vector<DirectoryItem>
DirectoryMirror::changesSince(DirectoryRevision after, CatalogueVersion catalogue, TimePoint now) const
{
    std::vector<DirectoryItem> items;
    if (hasCatalogue() && catalogue_.isNewerThan(catalogue, after)) {
        items.push_back(catalogue_.changesFrom(catalogue));
    }
    evacuations_.appendChangesSince(after, items);
    for (const auto &[key, known] : upstreams_) {
        if (known.revision <= after) {
            continue;
        }
        DirectoryItem item { .key = key, .revision = known.revision, .content = RemovedRecord {} };
        if (known.status.listing == Listing::Listed) {
            UpstreamRecord record = known.record;
            record.coldLeft = std::max(known.status.coldUntil - now, Duration::zero());
            item.content = record;
        }
        items.push_back(std::move(item));
    }
    for (const auto &[key, revision] : removedRevisions_) {
        if (revision > after && !upstreams_.contains(key)) {
            items.push_back({ .key = key, .revision = revision, .content = RemovedRecord {} });
        }
    }
    return items;
}

void DirectoryMirror::endDisputes(TimePoint now, std::vector<MirrorChange> &changes)
{
    std::vector<DirectoryItem> ended;
    for (auto &[key, known] : upstreams_) {
        if (known.disputed && now - known.disputedSince >= settings_.disputeGrace) {
            ended.push_back(*std::exchange(known.disputed, std::nullopt));
        }
    }
    for (const DirectoryItem &item : ended) {
        const auto *record = std::get_if<UpstreamRecord>(&item.content);
        if (record != nullptr && isInCatalogue(record->service)) {
            adopt(item, *record, now, changes);
        } else {
            markUnlisted(item.key, item.revision, now, changes);
        }
    }
    if (!ended.empty()) {
        // The revisions of these writes have passed, so that followers need all records.
        addHistoryGap({ .from = {}, .to = DirectoryRevision { revision_.value + 1 } });
    }
}

std::vector<MirrorChange> DirectoryMirror::tick(TimePoint now)
{
    std::vector<MirrorChange> changes;
    endDisputes(now, changes);
    for (auto it = upstreams_.begin(); it != upstreams_.end();) {
        DirectoryUpstream &status = it->second.status;
        if (status.listing == Listing::Lapsed && now - status.vanishedAt >= settings_.lapseGrace) {
            status.listing = Listing::Gone;
            published_.reset();
            changes.push_back({ .kind = MirrorChange::Kind::UpstreamGone,
                                .key = it->first,
                                .upstream = status.upstream.id,
                                .revision = it->second.revision,
                                .detail = "record did not return after the outage" });
        }
        if (status.listing == Listing::Gone && now - status.vanishedAt >= settings_.removedRetention) {
            if (removedRevisions_.size() >= maxRetainedRemovals) {
                removedRevisions_.clear();
                gaps_ = { { .from = {}, .to = revision_ } };
            }
            removedRevisions_[it->first] = it->second.revision;
            published_.reset();
            it = upstreams_.erase(it);
        } else {
            ++it;
        }
    }
    const auto expired = [&](const DirectoryUpstream &earlier) {
        return now - earlier.vanishedAt >= settings_.removedRetention;
    };
    if (std::erase_if(earlierIncarnations_, expired) > 0) {
        published_.reset();
    }
    return changes;
}

std::shared_ptr<const std::vector<DirectoryEntry>> DirectoryMirror::makeEntries()
{
    auto entries = std::make_shared<std::vector<DirectoryEntry>>();
    for (const EntryRecord &record : catalogue_.entries()) {
        DirectoryEntry entry { .name = record.name,
                               .address = record.address,
                               .services = {},
                               .idempotent = record.idempotent,
                               .latencyObjective = record.latencyObjective,
                               .timeout = record.timeout,
                               .priority = record.priority };
        for (const ServiceShare &share : record.services) {
            entry.services.emplace_back(serviceNumber(share.service), share.weight);
        }
        entries->push_back(std::move(entry));
    }
    return entries;
}

std::shared_ptr<const DirectoryView> DirectoryMirror::publish()
{
    if (published_) {
        return published_;
    }
    auto view = std::make_shared<DirectoryView>();
    view->version = catalogueVersion();
    view->revision = revision_;
    view->selfZone = zoneNumber(settings_.zone);
    view->flowIdleTimeout = catalogue_.flowIdleTimeout().value_or(settings_.flowIdleTimeout);
    if (!publishedEntries_) {
        publishedEntries_ = makeEntries();
    }
    view->entries = publishedEntries_;
    for (const ServiceRecord &service : catalogue_.services()) {
        view->coldLimits[serviceNumber(service.name)] = service.coldRequestsPerSecond;
    }
    view->upstreams.reserve(upstreams_.size() + earlierIncarnations_.size());
    for (const auto &[key, known] : upstreams_) {
        // A record of an unknown service may stand at the address of another upstream.
        if (isInCatalogue(known.record.service)) {
            view->upstreams.push_back(known.status);
            view->upstreams.back().evacuated = evacuations_.isEvacuated(known.record.zone);
        }
    }
    view->upstreams.insert(view->upstreams.end(), earlierIncarnations_.begin(), earlierIncarnations_.end());
    published_ = std::move(view);
    return published_;
}

} // namespace boragelug
