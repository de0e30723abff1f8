#include "views/view_store.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace boragelug
{

namespace
{

template<class Item>
void append(std::vector<Item> &out, const PartState &state)
{
    for (const StoredItem &stored : state.items) {
        if (const Item *item = std::get_if<Item>(&stored.item)) {
            out.push_back(*item);
        }
    }
}

// Compares the content of upstream parts if @p upstreams, otherwise that of all other parts.
bool differs(const PartMap &left, const PartMap &right, bool upstreams)
{
    std::uint64_t leftSum = 0;
    std::uint64_t rightSum = 0;
    for (const auto &[part, state] : left) {
        leftSum ^= parts::isUpstreams(part) == upstreams ? summaryTerm(part, state->contentHash) : 0;
    }
    for (const auto &[part, state] : right) {
        rightSum ^= parts::isUpstreams(part) == upstreams ? summaryTerm(part, state->contentHash) : 0;
    }
    return leftSum != rightSum;
}

} // namespace

Catalogue assembleCatalogue(const PartMap &parts, CatalogueVersion version)
{
    Catalogue catalogue;
    catalogue.version = version;
    for (const auto &[part, state] : parts) {
        append(catalogue.zones, *state);
        append(catalogue.services, *state);
        if (parts::isEntries(part)) {
            append(catalogue.entries, *state);
        }
    }
    std::sort(catalogue.entries.begin(), catalogue.entries.end(), [](const Entry &left, const Entry &right) {
        return std::tie(left.address, left.name) < std::tie(right.address, right.name);
    });
    return catalogue;
}

ViewStore::ViewStore(CatalogueValidator validate)
    : validate_(std::move(validate))
{ }

const PartState *ViewStore::part(std::uint16_t part) const
{
    const auto it = parts_.find(part);
    return it == parts_.end() ? nullptr : it->second.get();
}

ViewStore::Adoption ViewStore::adopt(PartMap parts, CatalogueVersion version)
{
    if (!isAdoptable(version)) {
        return Adoption::NotHigher;
    }
    const bool catalogueChanged = version_.value == 0 || differs(parts_, parts, false);
    if (catalogueChanged) {
        Catalogue candidate = assembleCatalogue(parts, version);
        if (validate_) {
            if (std::optional<std::string> reason = validate_(candidate)) {
                lastRejected_ = RejectedCatalogue { version, std::move(*reason) };
                return Adoption::Invalid;
            }
        }
        catalogue_ = std::move(candidate);
    }
    upstreamsChanged_ = differs(parts_, parts, true);
    catalogue_.version = version;
    version_ = version;
    parts_ = std::move(parts);
    summary_ = summaryHash(parts_);
    return Adoption::Adopted;
}

bool ViewStore::isAdoptable(CatalogueVersion version) const
{
    return version > version_ && (!lastRejected_ || version > lastRejected_->version);
}

std::vector<PartDigest> ViewStore::latestParts(std::size_t limit) const
{
    std::vector<PartDigest> digests;
    digests.reserve(parts_.size());
    for (const auto &[part, state] : parts_) {
        digests.push_back({ part, state->version, state->contentHash });
    }
    const auto newer = [](const PartDigest &left, const PartDigest &right) {
        return left.version != right.version ? left.version > right.version : left.part < right.part;
    };
    const std::size_t count = std::min(limit, digests.size());
    std::partial_sort(digests.begin(), digests.begin() + static_cast<std::ptrdiff_t>(count), digests.end(), newer);
    digests.resize(count);
    return digests;
}

} // namespace boragelug
