#pragma once

#include "model/directory_view.h"
#include "views/catalogue_mirror.h"
#include "views/evacuation_mirror.h"

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace boragelug
{

/// A change of the mirror that is reported to operators.
struct MirrorChange
{
    enum class Kind : std::uint8_t {
        CatalogueAdopted,
        CatalogueIgnored,
        UpstreamAppeared,
        UpstreamDraining,
        UpstreamLapsed,
        UpstreamGone,
        ZoneEvacuated,
        ZoneRestored,
        RecordUnreadable
    };

    Kind kind = Kind::CatalogueAdopted;
    /// Key of the directory record.
    std::string key;
    UpstreamId upstream;
    DirectoryRevision revision;
    std::string detail;
};

/// Fixed properties of a DirectoryMirror.
struct MirrorSettings
{
    std::string zone;
    /// An active upstream whose record is removed within this time after an outage of the directory stays in the view
    /// as lapsed for the same time, in case the record returns.
    Duration lapseGrace = std::chrono::milliseconds(2500);
    /// How long the last valid record of a listed upstream stays in effect after a write that can't be its own: an
    /// unreadable record, one of an unknown service or of an earlier incarnation. The upstream's own next heartbeats
    /// restore its record.
    Duration disputeGrace = std::chrono::seconds(4);
    /// How long an upstream stays in the view for its existing flows after its record was removed.
    Duration removedRetention = std::chrono::seconds(60);
    /// Idle timeout of flows if the catalogue sets none.
    Duration flowIdleTimeout = std::chrono::seconds(15);
};

/**
 * Copy of the directory's records. Ignores older revisions of a record and older catalogues.
 *
 * Does no I/O. Not synchronized: one thread at a time; times must not go back.
 */
class DirectoryMirror
{
public:
    explicit DirectoryMirror(MirrorSettings settings);

    /// Applies one page of a full listing.
    std::vector<MirrorChange> applyPage(const DirectoryPage &page, TimePoint now);

    /// Starts a full listing, whose first page has revision @p asOf.
    void beginListing(DirectoryRevision asOf);

    /// Ends a full listing: upstreams that are in none of its pages count as removed.
    std::vector<MirrorChange> endListing(TimePoint now);

    /// Applies changes in the given order.
    std::vector<MirrorChange> applyChanges(const DirectoryChanges &changes, TimePoint now);

    /// Stores the end of an outage: the directory was unreachable until @p now. Records removed shortly after may only
    /// have lapsed during the outage.
    void recordOutage(TimePoint now) { outageEnd_ = now; }

    /// When the last outage of the directory ended; std::nullopt if there was none.
    const std::optional<TimePoint> &outageEnd() const { return outageEnd_; }

    /// Whether changesSince(@p after) has all removals since then. A VM that was up to date within a time for which
    /// this mirror has no history may have records that this one never had.
    bool knowsRemovalsSince(DirectoryRevision after) const;

    /// The latest state of all records that changed after revision @p after, removals included. The catalogue is
    /// included if it is newer than version @p catalogue, as changes from that version if it is known here; for version
    /// 0, if it changed after @p after.
    std::vector<DirectoryItem> changesSince(DirectoryRevision after, CatalogueVersion catalogue, TimePoint now) const;

    /// Updates the upstreams whose grace or retention period has expired.
    std::vector<MirrorChange> tick(TimePoint now);

    /// Immutable view of all records; the same pointer as before if nothing has changed.
    std::shared_ptr<const DirectoryView> publish();

    /// Whether a catalogue was adopted.
    bool hasCatalogue() const { return catalogueVersion().value != 0; }

    /// Number of availability zones that are evacuated.
    std::size_t evacuatedZones() const { return evacuations_.size(); }

    /// Version of the catalogue; 0 if there is none.
    CatalogueVersion catalogueVersion() const { return catalogue_.version(); }

    /// The catalogue in force.
    const CatalogueMirror &catalogue() const { return catalogue_; }

private:
    /// A record that was added and removed between these revisions is unknown.
    struct HistoryGap
    {
        DirectoryRevision from;
        DirectoryRevision to;
    };

    struct KnownUpstream
    {
        DirectoryRevision revision;
        DirectoryUpstream status;
        UpstreamRecord record;
        /// The latest write to the key, if it can't be the upstream's own, and when it was read.
        std::optional<DirectoryItem> disputed;
        TimePoint disputedSince;
    };

    void apply(const DirectoryItem &item, TimePoint now, std::vector<MirrorChange> &changes);
    void recordCatalogue(const DirectoryItem &item,
                         CatalogueMirror::Adoption adoption,
                         CatalogueVersion version,
                         std::vector<MirrorChange> &changes);
    std::shared_ptr<const std::vector<DirectoryEntry>> makeEntries();
    void recordEvacuation(const DirectoryItem &item,
                          EvacuationMirror::Change change,
                          TimePoint now,
                          std::vector<MirrorChange> &changes);
    /// Treats upstreams of @p zone as cold whose records were written before revision @p restoredAt and whose service
    /// has a limit: their hosts may have restarted during the evacuation.
    void assumeCold(const std::string &zone, DirectoryRevision restoredAt, TimePoint now);
    /// Whether the zone of an upstream record has this name.
    bool isKnownZone(const std::string &zone) const;
    /// Withdraws the evacuations that the listing in progress lacks.
    void endUnlistedEvacuations(TimePoint now, std::vector<MirrorChange> &changes);
    void applyUpstream(const DirectoryItem &item,
                       const UpstreamRecord &record,
                       TimePoint now,
                       std::vector<MirrorChange> &changes);
    /// Keeps the record of the listed upstream @p known in spite of @p item.
    void dispute(KnownUpstream &known,
                 const DirectoryItem &item,
                 const std::string &reason,
                 TimePoint now,
                 std::vector<MirrorChange> &changes);
    /// Why a write of @p record can't come from the listed upstream @p known; empty if it can.
    std::string reasonToDispute(const KnownUpstream &known, const UpstreamRecord &record) const;
    /// Takes disputed writes that were not overwritten in time.
    void endDisputes(TimePoint now, std::vector<MirrorChange> &changes);
    void
    adopt(const DirectoryItem &item, const UpstreamRecord &record, TimePoint now, std::vector<MirrorChange> &changes);
    /// Whether an entry of the catalogue uses the service; true while there is no catalogue.
    bool isInCatalogue(const std::string &service) const;
    void
    markUnlisted(const std::string &key, DirectoryRevision revision, TimePoint now, std::vector<MirrorChange> &changes);
    void addHistoryGap(const HistoryGap &gap);
    /// Revision of the page of the listing in progress that would have the record of @p key.
    DirectoryRevision pageRevision(const std::string &key) const;
    void retireIncarnation(const KnownUpstream &known, TimePoint now);
    ServiceId serviceNumber(const std::string &name);
    ZoneId zoneNumber(const std::string &name);

    MirrorSettings settings_;
    std::map<std::string, KnownUpstream> upstreams_;
    /// Earlier incarnations of upstreams, which may still have flows.
    std::vector<DirectoryUpstream> earlierIncarnations_;
    /// Revision of the removal of each record that is no longer in @c upstreams_.
    std::map<std::string, DirectoryRevision> removedRevisions_;
    /// Gaps in the history, in order, each from the last change before a full listing to that listing.
    std::vector<HistoryGap> gaps_;
    /// Start of the gap that the listing in progress ends; std::nullopt if there is none.
    std::optional<DirectoryRevision> gapStart_;
    /// Revisions of the records in the listing in progress.
    std::map<std::string, DirectoryRevision> listedRevisions_;
    DirectoryRevision listedAsOf_;
    /// Last key and revision of each of its pages, in order.
    std::vector<std::pair<std::string, DirectoryRevision>> listedPages_;
    std::map<std::string, ServiceId> services_;
    /// Services that entries of the catalogue use.
    std::set<std::string> catalogueServices_;
    std::map<std::string, ZoneId> zones_;
    CatalogueMirror catalogue_;
    EvacuationMirror evacuations_;
    DirectoryRevision revision_;
    /// The entries as the view has them; null after the catalogue changed.
    std::shared_ptr<const std::vector<DirectoryEntry>> publishedEntries_;
    std::optional<TimePoint> outageEnd_;
    bool complete_ = false;
    std::shared_ptr<const DirectoryView> published_;
};

} // namespace boragelug
