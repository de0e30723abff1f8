#pragma once

#include "core/random.h"
#include "node/tagged_node.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace boragelug
{

/// A fleet whose VMs start together, and the directory that they read.
struct StartSettings
{
    std::size_t vms = 300;
    /// The first VMs are relays; 0 for a fleet in which each VM reads for itself.
    std::size_t relays = 3;
    /// VMs start at random times up to startSpread; relays start at relayDelay.
    Duration startSpread = std::chrono::milliseconds(200);
    Duration relayDelay = std::chrono::milliseconds(300);
    /// This many other VMs have the bandwidth of relays.
    std::size_t fastVms = 12;
    /// This many relays kept running and have all records.
    std::size_t runningRelays = 0;
    /// Bandwidth in bytes a second: of the directory, of relays, and of other VMs.
    double directoryBandwidth = 125e6;
    double relayBandwidth = 25e6;
    double vmBandwidth = 2.5e6;
    /// Size of a listing, and of all records between VMs.
    double listingBytes = 650'000;
    double recordsBytes = 45'000;
    /// Time to read a listing, and records of a VM, after they arrived.
    Duration listingTime = std::chrono::milliseconds(100);
    Duration recordsTime = std::chrono::milliseconds(15);
    /// Latency of the directory.
    Duration directoryLatency = std::chrono::milliseconds(4);
    /// Part of the VMs whose calls the directory rejects; 1 if it is away.
    double rejectedFraction = 0;
    std::uint64_t seed = 1;
};

/**
 * Simulates the start of a fleet in virtual time: which VM reads the directory, which one asks a relay, and when each
 * is ready. Bandwidth is shared equally between the listings in progress. Deterministic for given settings.
 */
class StartSimulation
{
public:
    explicit StartSimulation(const StartSettings &settings);

    /// Runs until all VMs are ready, at most for @p length.
    void run(Duration length);

    /// Time from the first start until @p fraction of the VMs were ready; std::nullopt if they weren't.
    std::optional<Duration> readyAfter(double fraction) const;

    std::size_t directoryCalls() const { return directoryCalls_; }
    double directoryBytes() const { return directoryBytes_; }
    /// Bytes that the busiest VM sent to others.
    double maxSentBytes() const;

private:
    struct Listing
    {
        DirectoryCall call;
        TimePoint startedAt;
        double receivedBytes = 0;
    };

    /// A call to a relay; @c request is empty once the relay has taken it.
    struct RelayCall
    {
        DirectoryCall call;
        std::size_t relay = 0;
        TimePoint startedAt;
        bool delivered = false;
        bool isStart = false;
    };

    struct ScheduledAnswer
    {
        TimePoint at;
        DirectoryAnswer answer;
        bool isStart = false;
    };

    struct Vm
    {
        std::unique_ptr<TaggedNode> node;
        TimePoint startsAt;
        bool started = false;
        bool rejected = false;
        double bandwidth = 0;
        std::optional<Listing> listing;
        std::optional<RelayCall> startCall;
        std::optional<RelayCall> followCall;
        std::vector<ScheduledAnswer> answers;
        TimePoint uplinkFreeAt;
        double sentBytes = 0;
        std::optional<TimePoint> readyAt;
    };

    TaggedNodeSettings nodeSettings(std::size_t vm) const;
    Endpoint endpointOf(std::size_t vm) const;
    double bandwidthOf(std::size_t vm) const;
    void startDue();
    void makeCalls(Vm &vm);
    void transferListings();
    void advanceRelayCalls(std::size_t number, std::optional<RelayCall> &call);
    void deliverAnswers(Vm &vm);
    void sendRelayAnswers(std::size_t number);
    void fail(Vm &vm, const DirectoryCall &call, bool isStart);

    StartSettings settings_;
    Random random_;
    TimePoint now_ { std::chrono::seconds(100) };
    TimePoint start_ { std::chrono::seconds(100) };
    std::vector<Vm> vms_;
    std::size_t directoryCalls_ = 0;
    double directoryBytes_ = 0;
};

} // namespace boragelug
