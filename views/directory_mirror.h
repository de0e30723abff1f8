#pragma once

#include "model/directory_view.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace boragelug
{

/// What a change of the mirror means to operators.
struct MirrorChange
{
    enum class Kind : std::uint8_t {
        CatalogueAdopted,
        CatalogueIgnored,
        UpstreamAppeared,
        UpstreamDraining,
        UpstreamLapsed,
        UpstreamGone,
        RecordUnreadable
    };

    Kind kind = Kind::CatalogueAdopted;
    /// Key of the record.
    std::string key;
    UpstreamId upstream;
    DirectoryRevision revision;
    std::string detail;
};

/// Fixed properties of a DirectoryMirror.
struct MirrorSettings
{
    std::string zone;
    /// How long a record that vanished around an outage may take to come back.
    Duration lapseGrace = std::chrono::milliseconds(2500);
    /// How long packets of existing flows still go to an upstream whose record is gone.
    Duration removedRetention = std::chrono::seconds(60);
    /// Flow idle time until a catalogue says otherwise.
    Duration flowIdleTimeout = std::chrono::seconds(15);
};

/**
 * Copy of the directory's records that never goes back: older revisions of a record and older catalogues are ignored.
 *
 * Does no I/O. Not synchronized: one thread at a time; times must not go back.
 */
class DirectoryMirror
{
public:
    explicit DirectoryMirror(MirrorSettings settings);

    /// Applies one page of a listing. Records that no page of the listing named vanish with endListing().
    std::vector<MirrorChange> applyPage(const DirectoryPage &page, TimePoint now);

    /// Starts a listing from its first page, which is as of @p asOf.
    void beginListing(DirectoryRevision asOf);

    /// Ends a listing: upstreams that it didn't name have vanished.
    std::vector<MirrorChange> endListing(TimePoint now);

    /// All records are known, from a listing or from another VM; those that appear from now on are new.
    void markComplete() { complete_ = true; }

    /// Applies changes in their order.
    std::vector<MirrorChange> applyChanges(const DirectoryChanges &changes, TimePoint now);

    /// The directory was out of reach until @p now; records that vanish shortly after may have lapsed meanwhile.
    void recordOutage(TimePoint now) { outageEnd_ = now; }

    /// When the directory was last out of reach.
    const std::optional<TimePoint> &outageEnd() const { return outageEnd_; }

    /// The latest state of all records that changed after @p after.
    std::vector<DirectoryItem> changesSince(DirectoryRevision after, TimePoint now) const;

    /// Ends grace and retention periods.
    std::vector<MirrorChange> tick(TimePoint now);

    /// A view of all records; the same pointer as before if nothing has changed.
    std::shared_ptr<const DirectoryView> publish();

    /// Whether a catalogue was read.
    bool hasCatalogue() const { return version_.value != 0; }

private:
    struct KnownUpstream
    {
        DirectoryRevision revision;
        DirectoryUpstream status;
        UpstreamRecord record;
    };

    void apply(const DirectoryItem &item, TimePoint now, std::vector<MirrorChange> &changes);
    void applyCatalogue(const DirectoryItem &item, const CatalogueRecord &record, std::vector<MirrorChange> &changes);
    void applyUpstream(const DirectoryItem &item,
                       const UpstreamRecord &record,
                       TimePoint now,
                       std::vector<MirrorChange> &changes);
    void
    markUnlisted(const std::string &key, DirectoryRevision revision, TimePoint now, std::vector<MirrorChange> &changes);
    void retireIncarnation(const KnownUpstream &known, TimePoint now);
    ServiceId serviceNumber(const std::string &name);
    ZoneId zoneNumber(const std::string &name);

    MirrorSettings settings_;
    std::map<std::string, KnownUpstream> upstreams_;
    /// Earlier incarnations whose flows may still be there.
    std::vector<DirectoryUpstream> earlierIncarnations_;
    std::map<std::string, DirectoryRevision> removedRevisions_;
    std::map<std::string, DirectoryRevision> listedRevisions_;
    DirectoryRevision listedAsOf_;
    std::map<std::string, ServiceId> services_;
    std::map<std::string, ZoneId> zones_;
    CatalogueVersion version_;
    DirectoryRevision catalogueRevision_;
    std::optional<DirectoryItem> catalogue_;
    DirectoryRevision revision_;
    std::vector<DirectoryEntry> entries_;
    Duration flowIdleTimeout_;
    std::optional<TimePoint> outageEnd_;
    bool complete_ = false;
    std::shared_ptr<const DirectoryView> published_;
};

} // namespace boragelug
