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

/// Settings of a ViewKeeper. The defaults suit fleets of 8 to 4,200 VMs.
struct ViewKeeperSettings
{
    Vm self;
    /// Peers to join through when the configuration service is unreachable at startup; may be empty.
    std::vector<Vm> seedPeers;
    /// Validates each catalogue before its adoption. An empty function accepts every catalogue.
    CatalogueValidator validate;
    /// Rate limit of all control messages to peers, in bytes including IP and UDP headers.
    double controlBytesPerSecond = 4096;
    double controlBurstBytes = 8192;
    /// Timeout of a long poll of the configuration service. The view becomes unconfirmed when the last confirmation is
    /// older than two timeouts and a grace period.
    Duration watchWait = std::chrono::seconds(10);
    /// A new VM that could not confirm its version with peers or the configuration service becomes ready with an
    /// unconfirmed view after this time.
    Duration readyTimeout = std::chrono::seconds(10);
};

/// Messages to send, calls to start and events to log after a tick.
struct ViewActions
{
    std::vector<OutgoingMessage> messages;
    std::vector<PlatformCall> platformCalls;
    std::vector<ViewEvent> events;
};

/// Counters for metrics since process start.
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
 * Combines store, dissemination, membership, reader selection, load and send budget. Performs no I/O and reads no
 * clock. Call tick() every 100 ms: the input handlers only change state, and tick() returns the messages and calls to
 * send. The result is deterministic for given inputs and random seed. Call tick() or an input handler before publish()
 * if the process may have been suspended: they detect this and first discard load values and the confirmation of the
 * view. Not synchronized: one thread at a time; published views may be shared between threads.
 */
class ViewKeeper
{
public:
    ViewKeeper(ViewKeeperSettings settings, TimePoint now);
    ~ViewKeeper();
    ViewKeeper(const ViewKeeper &) = delete;
    ViewKeeper &operator=(const ViewKeeper &) = delete;

    /// Handles the answer to a call that an earlier tick() returned. Ignores answers to unknown calls.
    void handlePlatformAnswer(PlatformAnswer answer, TimePoint now);

    /// Handles an authenticated message from the VM @p from: Probe, ProbeAck, ProbeRequest, ViewDigest, ViewPull,
    /// ViewDelta and LoadDigest. Any other message only counts as contact with that VM.
    void handleMessage(const PeerMessage &message, VmId from, TimePoint now);

    /// Stores a load value that this VM has polled from an upstream.
    void handleLoadReport(const LoadReport &report, TimePoint now);

    /// Queues a message of another layer (flow entries, leases, demand). It shares this VM's budget for control
    /// messages.
    void send(OutgoingMessage message, TimePoint now);

    /// Advances timers and returns the messages, calls and events that are due. Precondition: @p now never decreases.
    ViewActions tick(TimePoint now, Random &random);

    /// The latest view, a new object after each change. Never null; without catalogue before the first adoption.
    std::shared_ptr<const View> publish() const;

    /// Whether the VM may accept work: its catalogue is at least as new as that of its peers and the configuration
    /// service, or ViewKeeperSettings::readyTimeout has expired and the view is marked as unconfirmed.
    bool isReady() const;

    /// Whether this VM currently watches the configuration service for its zone.
    bool isReader() const;

    /// Upstreams of the current view whose load this VM polls.
    const std::vector<Upstream> &polledUpstreams() const;

    /// Address at which the peer @p vm receives messages; std::nullopt if the VM is unknown.
    std::optional<Endpoint> peerEndpoint(VmId vm) const;

    /// Announces to peers that this VM is leaving. It still answers their messages.
    void leave(TimePoint now);

    /// The last rejected catalogue; std::nullopt if none was rejected.
    const std::optional<RejectedCatalogue> &lastRejected() const;

    const ViewCounters &counters() const;

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace boragelug
