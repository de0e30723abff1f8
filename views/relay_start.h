#pragma once

#include "core/random.h"
#include "model/directory_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace boragelug
{

/// How a VM without records asks relays for them.
struct RelayStartSettings
{
    /// How long a relay that has no records itself yet may hold the request.
    Duration wait = std::chrono::milliseconds(600);
    /// Time for the transfer of all records beyond the wait.
    Duration transferTime = std::chrono::milliseconds(900);
    /// Timeout of the connection: ten times the latency to a VM of the same region. TCP sends a lost SYN again after a
    /// second only, so that a VM that has just got power would be found late.
    Duration connectTimeout = std::chrono::milliseconds(30);
    /// Time between two attempts after all relays failed.
    Duration retryInterval = std::chrono::milliseconds(20);
    /// Maximum number of referrals to another VM that are followed after a relay was chosen from the list.
    std::uint32_t maxHops = 6;
};

/**
 * Decides which relay a VM without records asks for all of them. Relays may be without power themselves, may have no
 * records yet, or may refer to another VM.
 *
 * Has at most one call in progress. Does no I/O. Not synchronized: one thread at a time; times must not go back.
 */
class RelayStart
{
public:
    /// What an answer means.
    struct Result
    {
        /// The VM that was asked.
        Endpoint relay;
        /// All its records; std::nullopt if the answer had none.
        std::optional<DirectoryChanges> records;
        /// Why the relay failed; empty if it didn't.
        std::string failure;
    };

    /// @p relays are the VMs to ask, without this one. They are asked in turn from a random one on, so that the load of
    /// a start of the whole fleet is shared.
    RelayStart(std::vector<Endpoint> relays, const RelayStartSettings &settings, Random &random);

    /// The call to start now; std::nullopt if a call is in progress or none is due.
    std::optional<DirectoryCall> nextCall(TimePoint now);

    /// When to call nextCall() again; std::nullopt while a call is in progress and after stop().
    std::optional<TimePoint> nextCallAt() const;

    /// Takes the answer to the call in progress; answers to other calls are ignored.
    Result handleAnswer(const DirectoryAnswer &answer, TimePoint now);

    /// Whether a relay failed, or there is none: the records should be read from the directory too.
    bool hasFailed() const { return hasFailed_; }

    /// Makes no more calls: the VM has its records.
    void stop() { stopped_ = true; }

private:
    void fail(const std::string &reason, TimePoint now, Result &result);

    std::vector<Endpoint> relays_;
    RelayStartSettings settings_;
    std::optional<DirectoryCall> inProgress_;
    std::uint64_t lastId_ = 0;
    std::size_t nextRelay_ = 0;
    /// Relays that failed since the last pause.
    std::size_t failuresInTurn_ = 0;
    /// The VM that a relay referred to, and the number of referrals since a relay was chosen from the list.
    std::optional<Endpoint> referral_;
    std::uint32_t hops_ = 0;
    TimePoint nextAt_;
    bool hasFailed_ = false;
    bool stopped_ = false;
};

} // namespace boragelug
