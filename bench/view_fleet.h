#pragma once

#include "bench/view_fleet_data.h"
#include "views/message_size.h"
#include "views/view_keeper.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <utility>
#include <vector>

namespace boragelug
{

/// Settings of a Fleet.
struct FleetOptions
{
    std::size_t vms = 8;
    std::size_t zones = 4;
    std::uint64_t seed = 1;
    double loss = 0;
    Duration minDelay = std::chrono::microseconds(500);
    Duration maxDelay = std::chrono::milliseconds(3);
    /// Time over which the first VMs start.
    Duration startSpread = std::chrono::seconds(1);
    CatalogueValidator validate;
    /// Whether each VM feeds itself a load value for its polled hosts once a second.
    bool polls = true;
};

/**
 * In-memory VMs that exchange messages by function calls with seeded delay and loss.
 *
 * For tests and benchmarks of views/. VM ids start at 1; VM n is in zone 1 + (n - 1) % zones. Not synchronized.
 */
class Fleet
{
public:
    struct Node
    {
        std::unique_ptr<ViewKeeper> keeper;
        std::uint64_t incarnation = 0;
        bool running = false;
        TimePoint asleepUntil;
        std::uint64_t lastVersion = 0;
        bool wasReady = false;
        std::deque<std::uint64_t> bytesBySecond;
        std::uint64_t bytesBefore = 0;
        double peakBytesPerSecond = 0;
    };

    explicit Fleet(FleetOptions options, FleetPlatform &platform)
        : options_(std::move(options))
        , platform_(platform)
        , random_(options_.seed)
        , nodes_(options_.vms)
    {
        // Boot time zero would put load reports before the epoch.
        now_ = TimePoint {} + std::chrono::hours(1);
        for (std::size_t vm = 1; vm <= options_.vms; ++vm) {
            listVm(VmId { vm }, true);
        }
    }

    /// Starts all VMs within startSpread.
    void startAll()
    {
        for (std::size_t vm = 1; vm <= options_.vms; ++vm) {
            const auto delay =
                static_cast<Duration::rep>(random_.below(static_cast<std::uint64_t>(options_.startSpread.count()) + 1));
            at(now_ + Duration(delay), [this, vm] { start(VmId { vm }); });
        }
    }

    /// Starts or restarts one VM with a new incarnation.
    void start(VmId vm)
    {
        Node &node = nodeOf(vm);
        ++node.incarnation;
        node.running = true;
        node.lastVersion = 0;
        node.wasReady = false;
        node.bytesBefore = 0;
        node.asleepUntil = now_;
        ViewKeeperSettings settings;
        settings.self = describe(vm);
        settings.validate = options_.validate;
        settings.seedPeers = seedPeers;
        node.keeper = std::make_unique<ViewKeeper>(std::move(settings), now_);
        listVm(vm, true);
        scheduleTick(vm, node.incarnation);
    }

    /// Stops one VM without a word.
    void kill(VmId vm)
    {
        nodeOf(vm).running = false;
        nodeOf(vm).keeper.reset();
    }

    /// Adds @p vm to, or removes it from, the platform's list of its zone.
    void listVm(VmId vm, bool listed)
    {
        VmList &list = platform_.lists[zoneOf(vm)];
        list.zone = zoneOf(vm);
        ++list.version;
        std::erase_if(list.vms, [vm](const Vm &known) { return known.id == vm; });
        if (listed) {
            list.vms.push_back(describe(vm));
        }
        releaseWatches();
    }

    /// Pauses a VM; messages and answers wait and reach it before its next tick, as from a socket buffer.
    void sleep(VmId vm, Duration duration) { nodeOf(vm).asleepUntil = now_ + duration; }

    /// Makes a change at the platform.
    std::uint64_t change(const std::vector<PartContent> &contents)
    {
        const std::uint64_t version = platform_.change(contents);
        changedAt[version] = now_;
        releaseWatches();
        return version;
    }

    /// Runs for @p duration.
    void run(Duration duration)
    {
        const TimePoint end = now_ + duration;
        while (!events_.empty() && events_.top().time <= end) {
            // The queue gives only const access, and the handler may add events.
            const Scheduled next = events_.top();
            events_.pop();
            now_ = next.time;
            next.action();
        }
        now_ = end;
    }

    /// Runs until @p done holds, at most @p limit. Returns the time it took, or nothing.
    std::optional<Duration> runUntil(const std::function<bool()> &done, Duration limit)
    {
        const TimePoint start = now_;
        while (!done()) {
            if (now_ - start >= limit) {
                return std::nullopt;
            }
            run(std::chrono::milliseconds(50));
        }
        return now_ - start;
    }

    /// Whether every running VM has at least @p version.
    bool allHave(std::uint64_t version) const
    {
        return std::all_of(nodes_.begin(), nodes_.end(), [version](const Node &node) {
            return !node.running || node.lastVersion >= version;
        });
    }

    bool allReady() const
    {
        return std::all_of(
            nodes_.begin(), nodes_.end(), [](const Node &node) { return node.running && node.keeper->isReady(); });
    }

    Node &nodeOf(VmId vm) { return nodes_[static_cast<std::size_t>(vm.value) - 1]; }
    ViewKeeper &keeper(VmId vm) { return *nodeOf(vm).keeper; }
    const std::vector<Node> &nodes() const { return nodes_; }
    TimePoint now() const { return now_; }
    ZoneId zoneOf(VmId vm) const { return { static_cast<std::uint16_t>(1 + (vm.value - 1) % options_.zones) }; }

    Vm describe(VmId vm)
    {
        Vm described;
        described.id = vm;
        described.incarnation = { std::max<std::uint64_t>(1, nodeOf(vm).incarnation) };
        described.zone = zoneOf(vm);
        described.packetEndpoint = { { 0x0a000000U + static_cast<std::uint32_t>(vm.value) }, { 6081 } };
        described.peerEndpoint = { described.packetEndpoint.address, { 7000 } };
        return described;
    }

    /// Starts over the counts of bytes and calls.
    void resetMeasurements()
    {
        calls = {};
        bytesByType = {};
        measuredFrom_ = now_;
        for (Node &node : nodes_) {
            node.bytesBySecond.clear();
            node.peakBytesPerSecond = 0;
            node.bytesBefore = node.keeper ? node.keeper->counters().bytesSent : 0;
        }
        bytesTotal_ = 0;
    }

    /// Mean bytes per second and running VM since resetMeasurements().
    double meanBytesPerSecond() const
    {
        const double seconds = std::chrono::duration<double>(now_ - measuredFrom_).count();
        return static_cast<double>(bytesTotal_) / seconds / static_cast<double>(nodes_.size());
    }

    /// Highest bytes per second of any VM over 10 s since resetMeasurements().
    double peakBytesPerSecond() const
    {
        double peak = 0;
        for (const Node &node : nodes_) {
            peak = std::max(peak, node.peakBytesPerSecond);
        }
        return peak;
    }

    /// Calls by resource since resetMeasurements().
    std::map<PlatformResource, std::uint64_t> calls;
    /// Whether messages pass between two VMs.
    std::function<bool(VmId, VmId)> linked = [](VmId, VmId) { return true; };
    /// Whether a VM reaches the platform.
    std::function<bool(VmId)> reachesPlatform = [](VmId) { return true; };
    /// The version that the replica of a VM serves; 0 is the latest.
    std::function<std::uint64_t(VmId)> replica = [](VmId) { return std::uint64_t { 0 }; };
    std::vector<Vm> seedPeers;
    std::map<std::uint64_t, TimePoint> changedAt;
    /// For each version, how long each VM took until it was in effect.
    std::map<std::uint64_t, std::vector<Duration>> inEffectAfter;
    /// Views with a lower version than an earlier one of the same ready VM or incarnation.
    std::uint64_t reverts = 0;
    std::uint64_t undeliverable = 0;
    std::uint64_t delivered = 0;
    /// Bytes sent by alternative of PeerMessage since resetMeasurements().
    std::map<std::size_t, std::uint64_t> bytesByType;
    std::map<EventNumber, std::uint64_t> events;

private:
    struct Scheduled
    {
        TimePoint time;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Scheduled &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };
    struct Watch
    {
        VmId vm;
        std::uint64_t incarnation = 0;
        PlatformCall call;
        bool done = false;
    };

    void at(TimePoint time, std::function<void()> action) { events_.push({ time, ++order_, std::move(action) }); }

    Duration delay()
    {
        const auto range = static_cast<std::uint64_t>((options_.maxDelay - options_.minDelay).count());
        return options_.minDelay + Duration(static_cast<Duration::rep>(random_.below(range + 1)));
    }

    bool isRun(VmId vm, std::uint64_t incarnation)
    {
        return nodeOf(vm).running && nodeOf(vm).incarnation == incarnation;
    }

    // Runs an input of a VM now, or at the end of its sleep.
    void input(VmId vm, std::function<void()> action)
    {
        if (now_ < nodeOf(vm).asleepUntil) {
            at(nodeOf(vm).asleepUntil, std::move(action));
        } else {
            action();
        }
    }

    void scheduleTick(VmId vm, std::uint64_t incarnation)
    {
        const auto jitter = std::chrono::microseconds(random_.below(2000));
        const TimePoint next = std::max(now_ + std::chrono::milliseconds(99) + jitter, nodeOf(vm).asleepUntil);
        at(next, [this, vm, incarnation] {
            if (!isRun(vm, incarnation)) {
                return;
            }
            if (now_ < nodeOf(vm).asleepUntil) {
                scheduleTick(vm, incarnation);
                return;
            }
            tick(vm);
            scheduleTick(vm, incarnation);
        });
    }

    void tick(VmId vm)
    {
        Node &node = nodeOf(vm);
        poll(vm);
        ViewActions actions = node.keeper->tick(now_, random_);
        for (const ViewEvent &event : actions.events) {
            ++events[event.number];
        }
        for (OutgoingMessage &outgoing : actions.messages) {
            transmit(vm, std::move(outgoing));
        }
        for (const PlatformCall &call : actions.platformCalls) {
            ++calls[call.resource];
            serve({ vm, node.incarnation, call });
        }
        note(vm);
        countBytes(node);
    }

    void poll(VmId vm)
    {
        Node &node = nodeOf(vm);
        if (!options_.polls || random_.below(10) != 0) {
            return;
        }
        for (const Upstream &host : node.keeper->polledUpstreams()) {
            node.keeper->handleLoadReport({ host.id, host.incarnation, random_.unit(), true, now_ }, now_);
        }
    }

    void countBytes(Node &node)
    {
        const auto second = static_cast<std::size_t>((now_ - measuredFrom_) / std::chrono::seconds(1));
        const std::uint64_t sent = node.keeper->counters().bytesSent;
        const std::uint64_t added = sent - std::exchange(node.bytesBefore, sent);
        bytesTotal_ += added;
        while (node.bytesBySecond.size() <= second) {
            node.bytesBySecond.push_back(0);
        }
        node.bytesBySecond[second] += added;
        constexpr std::size_t window = 10;
        if (second + 1 >= window) {
            std::uint64_t sum = 0;
            for (std::size_t i = second + 1 - window; i <= second; ++i) {
                sum += node.bytesBySecond[i];
            }
            node.peakBytesPerSecond = std::max(node.peakBytesPerSecond, static_cast<double>(sum) / window);
        }
    }

    void note(VmId vm)
    {
        Node &node = nodeOf(vm);
        const std::uint64_t version = node.keeper->publish()->catalogue.version.value;
        if (version < node.lastVersion) {
            ++reverts;
        }
        for (std::uint64_t v = node.lastVersion + 1; v <= version; ++v) {
            const auto changed = changedAt.find(v);
            if (changed != changedAt.end() && node.lastVersion > 0) {
                inEffectAfter[v].push_back(now_ - changed->second);
            }
        }
        node.lastVersion = version;
        if (node.keeper->isReady() && !node.wasReady) {
            node.wasReady = true;
        }
    }

    void transmit(VmId from, OutgoingMessage outgoing)
    {
        const VmId to = outgoing.to;
        bytesByType[outgoing.message.index()] += wireSize(outgoing.message) + networkHeaderBytes;
        if (!nodeOf(from).keeper->peerEndpoint(to)) {
            ++undeliverable;
            return;
        }
        if (!linked(from, to) || random_.chance(options_.loss)) {
            return;
        }
        auto message = std::make_shared<PeerMessage>(std::move(outgoing.message));
        at(now_ + delay(), [this, from, to, message] { deliver(from, to, message); });
    }

    void deliver(VmId from, VmId to, const std::shared_ptr<PeerMessage> &message)
    {
        input(to, [this, from, to, message] {
            if (nodeOf(to).running) {
                ++delivered;
                nodeOf(to).keeper->handleMessage(*message, from, now_);
                note(to);
            }
        });
    }

    void serve(Watch watch)
    {
        if (!reachesPlatform(watch.vm)) {
            const Duration timeout = std::chrono::seconds(1);
            respond(watch, PlatformFailure { PlatformError::Unreachable, "no route", {} }, timeout);
            return;
        }
        if (const auto result = resultFor(watch, false)) {
            respond(watch, *result, delay());
            return;
        }
        auto shared = std::make_shared<Watch>(watch);
        watches_.push_back(shared);
        at(now_ + watch.call.wait, [this, shared] {
            if (!std::exchange(shared->done, true)) {
                respond(*shared, PlatformUnchanged {}, delay());
            }
        });
    }

    using Result = decltype(PlatformAnswer::result);

    std::optional<Result> resultFor(const Watch &watch, bool final) const
    {
        const PlatformCall &call = watch.call;
        const FleetPlatform::Snapshot &snapshot = platform_.at(replica(watch.vm));
        const bool waits = !final && call.wait > Duration::zero();
        if (call.resource == PlatformResource::Part) {
            const auto part = snapshot.parts.find(call.part);
            if (part == snapshot.parts.end()) {
                return PlatformFailure { PlatformError::NotFound, "no such part", {} };
            }
            return *part->second;
        }
        if (call.resource == PlatformResource::VmList) {
            const auto found = platform_.lists.find(call.zone);
            if (found == platform_.lists.end()) {
                return PlatformFailure { PlatformError::NotFound, "no such zone", {} };
            }
            const VmList &list = found->second;
            if (list.version != call.knownVersion) {
                return list;
            }
        } else if (snapshot.index.version.value != call.knownVersion) {
            return snapshot.index;
        }
        return waits ? std::nullopt : std::optional<Result>(PlatformUnchanged {});
    }

    void respond(const Watch &watch, Result result, Duration after)
    {
        PlatformAnswer answer { watch.call.id, std::move(result) };
        const VmId vm = watch.vm;
        at(now_ + after, [this, vm, incarnation = watch.incarnation, answer] {
            input(vm, [this, vm, incarnation, answer] {
                if (!isRun(vm, incarnation)) {
                    return;
                }
                // A connection through a cut is lost with its answer.
                const bool lost = !reachesPlatform(vm) && !std::holds_alternative<PlatformFailure>(answer.result);
                nodeOf(vm).keeper->handlePlatformAnswer(
                    lost ? PlatformAnswer { answer.callId, PlatformFailure {} } : answer, now_);
                note(vm);
            });
        });
    }

    void releaseWatches()
    {
        for (const auto &watch : watches_) {
            if (watch->done || !reachesPlatform(watch->vm)) {
                continue;
            }
            if (const auto result = resultFor(*watch, false)) {
                watch->done = true;
                respond(*watch, *result, delay());
            }
        }
        std::erase_if(watches_, [](const auto &watch) { return watch->done; });
    }

    FleetOptions options_;
    FleetPlatform &platform_;
    Random random_;
    std::vector<Node> nodes_;
    TimePoint now_;
    TimePoint measuredFrom_;
    std::uint64_t bytesTotal_ = 0;
    std::uint64_t order_ = 0;
    std::priority_queue<Scheduled> events_;
    std::vector<std::shared_ptr<Watch>> watches_;
};

} // namespace boragelug
