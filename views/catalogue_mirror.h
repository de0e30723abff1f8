#pragma once

#include "model/directory_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace boragelug
{

/**
 * Copy of the operators' catalogue, which also tells what changed between its versions. Ignores older versions.
 *
 * Does no I/O. Not synchronized: one thread at a time.
 */
class CatalogueMirror
{
public:
    /// What became of a record or delta.
    enum class Adoption : std::uint8_t { Adopted, AlreadyKnown, Older, WrongBase };

    /// Takes the whole catalogue of @p item.
    Adoption adopt(const DirectoryItem &item, const CatalogueRecord &record);

    /// Takes the changes of @p item; WrongBase if they start from another version than this one.
    Adoption adopt(const DirectoryItem &item, const CatalogueDelta &delta);

    /// Version of the catalogue; 0 if there is none.
    CatalogueVersion version() const { return version_; }

    /// Whether @p version, if it isn't 0, is older than this catalogue; for 0, whether this catalogue changed after
    /// @p revision.
    bool isNewerThan(CatalogueVersion version, DirectoryRevision revision) const;

    /// The catalogue as changes from version @p base if that version is known here, otherwise whole. Precondition:
    /// there is a catalogue.
    DirectoryItem changesFrom(CatalogueVersion base) const;

    /// Idle timeout of flows; std::nullopt if the catalogue sets none.
    const std::optional<Duration> &flowIdleTimeout() const { return flowIdleTimeout_; }

    /// Services whose cold upstreams have a limit.
    const std::vector<ServiceRecord> &services() const { return services_; }

    /// At most @p most entries after address @p after, or from the first one, sorted by address.
    std::vector<EntryRecord> entriesAfter(const std::optional<Endpoint> &after, std::size_t most) const;

    /// All entries, sorted by address.
    std::vector<EntryRecord> entries() const;

private:
    struct KnownEntry
    {
        EntryRecord record;
        /// Revision of the catalogue that last changed the entry.
        DirectoryRevision revision;
    };

    Adoption compare(const DirectoryItem &item, CatalogueVersion version) const;
    void setEntry(const EntryRecord &record, DirectoryRevision revision);
    void removeEntry(const Endpoint &address, DirectoryRevision revision);
    void finish(const DirectoryItem &item, CatalogueVersion version, std::optional<Duration> flowIdleTimeout);

    std::string key_;
    CatalogueVersion version_;
    DirectoryRevision revision_;
    std::optional<Duration> flowIdleTimeout_;
    std::vector<ServiceRecord> services_;
    std::map<Endpoint, KnownEntry> entries_;
    /// Revision of the catalogue that removed each entry.
    std::map<Endpoint, DirectoryRevision> removedEntries_;
    /// Revisions of the latest versions, from which changes can be told.
    std::map<CatalogueVersion, DirectoryRevision> revisions_;
};

} // namespace boragelug
