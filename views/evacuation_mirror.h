#pragma once

#include "model/directory_record.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace boragelug
{

/**
 * Copy of the operators' requests to evacuate availability zones. Ignores older revisions of a request.
 *
 * Does no I/O. Not synchronized: one thread at a time.
 */
class EvacuationMirror
{
public:
    /// Limit of requests that are retained, withdrawn ones included. A fleet has far fewer zones.
    static constexpr std::size_t maxRequests = 1000;

    /// What became of a record or removal.
    enum class Change : std::uint8_t { None, Began, Ended, TooMany };

    /// Takes the request @p record under @p key.
    Change apply(const std::string &key, DirectoryRevision revision, const EvacuationRecord &record);

    /// Takes the removal of the record of @p key; None if @p key has no request in effect or a later one.
    Change remove(const std::string &key, DirectoryRevision revision);

    /// Whether @p zone is evacuated.
    bool isEvacuated(const std::string &zone) const;

    /// Zone of the request under @p key; empty if there was none.
    std::string zoneOf(const std::string &key) const;

    /// Number of zones that are evacuated.
    std::size_t size() const;

    /// Keys and revisions of the requests in effect.
    std::vector<std::pair<std::string, DirectoryRevision>> inEffect() const;

    /// Revision of the latest withdrawal that was discarded; 0 if there was none.
    DirectoryRevision discardedRevision() const { return discardedRevision_; }

    /// Appends the state of all requests that changed after revision @p after, withdrawals included.
    void appendChangesSince(DirectoryRevision after, std::vector<DirectoryItem> &items) const;

private:
    struct Request
    {
        std::string zone;
        DirectoryRevision revision;
        bool inEffect = false;
    };

    /// Discards the oldest withdrawn request; false if all are in effect.
    bool discardWithdrawn();

    std::map<std::string, Request> requests_;
    DirectoryRevision discardedRevision_;
};

} // namespace boragelug
