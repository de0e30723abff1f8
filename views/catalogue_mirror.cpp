#include "views/catalogue_mirror.h"

#include <algorithm>
#include <set>
#include <utility>

namespace boragelug
{
namespace
{

/// Number of versions from which changes can be told.
constexpr std::size_t maxKnownVersions = 64;

} // namespace

CatalogueMirror::Adoption CatalogueMirror::compare(const DirectoryItem &item, CatalogueVersion version) const
{
    if (version < version_) {
        return Adoption::Older;
    }
    return version == version_ || item.revision <= revision_ ? Adoption::AlreadyKnown : Adoption::Adopted;
}

CatalogueMirror::Adoption CatalogueMirror::adopt(const DirectoryItem &item, const CatalogueRecord &record)
{
    const Adoption adoption = compare(item, record.version);
    if (adoption != Adoption::Adopted) {
        return adoption;
    }
    std::set<Endpoint> listed;
    for (const EntryRecord &entry : record.entries) {
        setEntry(entry, item.revision);
        listed.insert(entry.address);
    }
    std::vector<Endpoint> missing;
    for (const auto &[address, known] : entries_) {
        if (!listed.contains(address)) {
            missing.push_back(address);
        }
    }
    for (const Endpoint &address : missing) {
        removeEntry(address, item.revision);
    }
    services_ = record.services;
    finish(item, record.version, record.flowIdleTimeout);
    return Adoption::Adopted;
}

CatalogueMirror::Adoption CatalogueMirror::adopt(const DirectoryItem &item, const CatalogueDelta &delta)
{
    const Adoption adoption = compare(item, delta.version);
    if (adoption != Adoption::Adopted) {
        return adoption;
    }
    if (delta.base != version_) {
        return Adoption::WrongBase;
    }
    for (const EntryRecord &entry : delta.changed) {
        setEntry(entry, item.revision);
    }
    for (const Endpoint &address : delta.removed) {
        removeEntry(address, item.revision);
    }
    services_ = delta.services;
    finish(item, delta.version, delta.flowIdleTimeout);
    return Adoption::Adopted;
}

void CatalogueMirror::setEntry(const EntryRecord &record, DirectoryRevision revision)
{
    const auto found = entries_.find(record.address);
    if (found == entries_.end()) {
        entries_.emplace(record.address, KnownEntry { .record = record, .revision = revision });
        removedEntries_.erase(record.address);
    } else if (found->second.record != record) {
        found->second = { .record = record, .revision = revision };
    }
}

void CatalogueMirror::removeEntry(const Endpoint &address, DirectoryRevision revision)
{
    if (entries_.erase(address) > 0) {
        removedEntries_[address] = revision;
    }
}

void CatalogueMirror::finish(const DirectoryItem &item,
                             CatalogueVersion version,
                             std::optional<Duration> flowIdleTimeout)
{
    key_ = item.key;
    version_ = version;
    revision_ = item.revision;
    flowIdleTimeout_ = flowIdleTimeout;
    revisions_[version] = item.revision;
    if (revisions_.size() > maxKnownVersions) {
        revisions_.erase(revisions_.begin());
    }
    const DirectoryRevision oldest = revisions_.begin()->second;
    std::erase_if(removedEntries_, [&](const auto &removed) { return removed.second <= oldest; });
}

bool CatalogueMirror::isNewerThan(CatalogueVersion version, DirectoryRevision revision) const
{
    return version.value != 0 ? version_ > version : revision_ > revision;
}

DirectoryItem CatalogueMirror::changesFrom(CatalogueVersion base) const
{
    DirectoryItem item { .key = key_, .revision = revision_, .content = RemovedRecord {} };
    const auto known = revisions_.find(base);
    if (known == revisions_.end()) {
        item.content = CatalogueRecord {
            .version = version_, .entries = entries(), .flowIdleTimeout = flowIdleTimeout_, .services = services_
        };
        return item;
    }
    CatalogueDelta delta { .base = base,
                           .version = version_,
                           .changed = {},
                           .removed = {},
                           .flowIdleTimeout = flowIdleTimeout_,
                           .services = services_ };
    for (const auto &[address, entry] : entries_) {
        if (entry.revision > known->second) {
            delta.changed.push_back(entry.record);
        }
    }
    for (const auto &[address, removedAt] : removedEntries_) {
        if (removedAt > known->second) {
            delta.removed.push_back(address);
        }
    }
    item.content = std::move(delta);
    return item;
}

std::vector<EntryRecord> CatalogueMirror::entriesAfter(const std::optional<Endpoint> &after, std::size_t most) const
{
    std::vector<EntryRecord> some;
    for (auto it = after ? entries_.upper_bound(*after) : entries_.begin(); it != entries_.end() && some.size() < most;
         ++it) {
        some.push_back(it->second.record);
    }
    return some;
}

std::vector<EntryRecord> CatalogueMirror::entries() const
{
    std::vector<EntryRecord> all;
    all.reserve(entries_.size());
    for (const auto &[address, entry] : entries_) {
        all.push_back(entry.record);
    }
    return all;
}

} // namespace boragelug
