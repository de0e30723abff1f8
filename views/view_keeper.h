#pragma once

#include "core/random.h"
#include "core/time_point.h"
#include "model/peer_message.h"
#include "model/platform_message.h"
#include "model/view.h"
#include "views/catalogue_validator.h"
#include "views/view_event.h"
#include "views/view_store.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace boragelug
{

/// Settings of a ViewKeeper. The defaults hold from 8 to 4,200 VMs.
struct ViewKeeperSettings
{
    Vm self;
    /// Peers to ask when the platform can't be reached at the start; may be empty.
    std::vector<Vm> seedPeers;
    /// Refuses a catalogue with a reason; without one every catalogue is accepted.
    CatalogueValidator validate;
    /// Rate of all control messages to peers, IP and UDP headers included.
    double controlBytesPerSecond = 4096;
    double controlBurstBytes = 8192;
    /// How long an unchanged watch waits at the platform. The view is in doubt after two waits without its word.
    Duration watchWait = std::chrono::seconds(10);
    /// After this time without any peer's or platform's word, a new VM becomes ready in doubt.
    Duration readyTimeout = std::chrono::seconds(10);
};

/// What a tick asks the process to do.
struct ViewActions
{
    std::vector<OutgoingMessage> messages;
    std::vector<PlatformCall> platformCalls;
    std::vector<ViewEvent> events;
};

/// Counters for metrics, since the start.
struct ViewCounters
{
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesDropped = 0;
    std::uint64_t platformCalls = 0;
    std::uint64_t platformFailures = 0;
    std::uint64_t staleAnswers = 0;
    std::uint64_t catalogueAdoptions = 0;
    std::uint64_t catalogueRejections = 0;
};

/**
 * Keeps one VM's view: catalogue, upstreams, members and load.
 *
 * Combines store, dissemination, membership, readers, load and budget. Does no I/O and reads no clock. Call tick()
 * every 100 ms; inputs only change state, and tick() returns what to send. The same inputs and seed give the same
 * result. After a wait that may have been long, call tick() or a handler before publish(): these notice a pause and
 * drop load and confirmation first. Not synchronized: one thread at a time; published views may be shared between
 * threads.
 */
class ViewKeeper
{
public:
    ViewKeeper(ViewKeeperSettings settings, TimePoint now);
    ~ViewKeeper();
    ViewKeeper(const ViewKeeper &) = delete;
    ViewKeeper &operator=(const ViewKeeper &) = delete;

    /// Takes the answer to a call from an earlier tick(). Answers to unknown calls are ignored.
    void handlePlatformAnswer(PlatformAnswer answer, TimePoint now);

    /// Takes a message from the VM @p from, already authenticated. Handles Probe, ProbeAck, ProbeRequest, ViewDigest,
    /// ViewPull, ViewDelta and LoadDigest; other messages only count as a sign of life.
    void handleMessage(const PeerMessage &message, VmId from, TimePoint now);

    /// Takes the load that this VM read from a host itself.
    void handleLoadReport(const LoadReport &report, TimePoint now);

    /// Queues a message of another layer (flow entries, leases, demand) behind the same budget.
    void send(OutgoingMessage message, TimePoint now);

    /// Advances timers and returns what to do now. Precondition: @p now doesn't go back.
    ViewActions tick(TimePoint now, Random &random);

    /// The latest view; a new pointer whenever something changed. Never null, empty before the first adoption.
    std::shared_ptr<const View> publish() const;

    /// Whether the VM may take work: it holds a catalogue that is not older than its peers' and the platform's,
    /// or the bounded time is over and the view is marked in doubt.
    bool isReady() const;

    /// Whether this VM watches the platform for its zone now.
    bool isReader() const;

    /// Hosts whose load this VM reads, from the current view.
    const std::vector<Upstream> &polledUpstreams() const;

    /// Where the peer @p vm receives messages; nothing for an unknown VM.
    std::optional<Endpoint> peerEndpoint(VmId vm) const;

    /// Announces that this VM is leaving; it keeps answering.
    void leave(TimePoint now);

    /// Last refused catalogue, if any.
    const std::optional<RejectedCatalogue> &lastRejected() const;

    const ViewCounters &counters() const;

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace boragelug
