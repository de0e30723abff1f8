#include "start_simulation.h"

#include <algorithm>
#include <utility>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

constexpr Duration step = 2ms;
constexpr Duration latency = 1ms;
constexpr std::uint32_t firstAddress = 1000;

std::vector<DirectoryItem> records()
{
    CatalogueRecord catalogue;
    catalogue.version = CatalogueVersion { 1 };
    catalogue.entries = { { .name = EntryName { "ledger" },
                            .address = { .address = { 100 }, .port = { 443 } },
                            .services = { { .service = "ledger", .weight = 1 } } } };
    UpstreamRecord upstream;
    upstream.id = UpstreamId { 1 };
    upstream.incarnation = Incarnation { 1 };
    upstream.service = "ledger";
    upstream.zone = "kgd-north";
    return { { .key = "catalogue", .revision = { 1 }, .content = catalogue },
             { .key = "hosts/1", .revision = { 2 }, .content = upstream } };
}

} // namespace

StartSimulation::StartSimulation(const StartSettings &settings)
    : settings_(settings)
    , random_(settings.seed)
    , vms_(settings.vms)
{
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        Vm &vm = vms_[i];
        const bool isRelay = i < settings_.relays;
        vm.startsAt = start_ + settings_.startSpread * static_cast<std::int64_t>(random_.below(100)) / 100;
        if (isRelay) {
            vm.startsAt = start_ + (i < settings_.runningRelays ? Duration::zero() : settings_.relayDelay);
        }
        vm.bandwidth = bandwidthOf(i);
        vm.rejected = random_.chance(settings_.rejectedFraction);
        vm.node = std::make_unique<TaggedNode>(nodeSettings(i));
        if (i < settings_.runningRelays) {
            const auto call = vm.node->nextCall(start_ - 1s);
            vm.node->handleDirectoryAnswer(
                { .callId = call->id,
                  .result = DirectoryPage { .items = records(), .more = false, .lastKey = {}, .asOf = { 2 } } },
                start_ - 1s);
            vm.readyAt = start_;
        }
    }
}

Endpoint StartSimulation::endpointOf(std::size_t vm) const
{
    return { .address = { firstAddress + static_cast<std::uint32_t>(vm) }, .port = { 80 } };
}

double StartSimulation::bandwidthOf(std::size_t vm) const
{
    return vm < settings_.relays + settings_.fastVms ? settings_.relayBandwidth : settings_.vmBandwidth;
}

TaggedNodeSettings StartSimulation::nodeSettings(std::size_t vm) const
{
    TaggedNodeSettings node;
    node.mirror.zone = "kgd-north";
    for (std::size_t relay = 0; relay < settings_.relays; ++relay) {
        node.reader.follow.relays.push_back(endpointOf(relay));
    }
    node.reader.follow.self = endpointOf(vm);
    node.reader.listing.linkBandwidth = bandwidthOf(vm);
    node.seed = settings_.seed * 1000 + vm;
    return node;
}

void StartSimulation::run(Duration length)
{
    const TimePoint end = start_ + length;
    const auto isReady = [](const Vm &vm) { return vm.readyAt.has_value(); };
    for (; now_ < end && !std::all_of(vms_.begin(), vms_.end(), isReady); now_ += step) {
        startDue();
        transferListings();
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            Vm &vm = vms_[i];
            if (!vm.started) {
                continue;
            }
            deliverAnswers(vm);
            advanceRelayCalls(i, vm.startCall);
            advanceRelayCalls(i, vm.followCall);
            sendRelayAnswers(i);
            makeCalls(vm);
            if (!vm.readyAt && vm.node->isReady()) {
                vm.readyAt = now_;
            }
        }
    }
}

void StartSimulation::startDue()
{
    for (Vm &vm : vms_) {
        vm.started = vm.started || now_ >= vm.startsAt;
    }
}

void StartSimulation::makeCalls(Vm &vm)
{
    if (const auto call = vm.node->nextStartCall(now_)) {
        vm.startCall = {
            .call = *call, .relay = call->relay.address.value - firstAddress, .startedAt = now_, .isStart = true
        };
    }
    if (vm.listing && vm.node->listingCheckAt() && now_ >= *vm.node->listingCheckAt()
        && vm.node->abandonsListing(static_cast<std::size_t>(vm.listing->receivedBytes), now_)) {
        vm.listing.reset();
    }
    const auto call = vm.node->nextCall(now_);
    if (!call) {
        return;
    }
    if (call->kind == DirectoryCall::Kind::Follow) {
        vm.followCall = { .call = *call, .relay = call->relay.address.value - firstAddress, .startedAt = now_ };
        return;
    }
    ++directoryCalls_;
    if (vm.rejected) {
        fail(vm, *call, false);
    } else if (call->kind == DirectoryCall::Kind::List) {
        vm.listing = Listing { .call = *call, .startedAt = now_ };
    }
    // Watches are left without an answer: nothing changes.
}

void StartSimulation::fail(Vm &vm, const DirectoryCall &call, bool isStart)
{
    ScheduledAnswer &scheduled = vm.answers.emplace_back();
    scheduled.at = now_ + latency;
    scheduled.answer.callId = call.id;
    scheduled.answer.result = DirectoryFailure { .error = DirectoryError::Unreachable, .detail = "test" };
    scheduled.isStart = isStart;
}

void StartSimulation::transferListings()
{
    const auto active = std::count_if(vms_.begin(), vms_.end(), [](const Vm &vm) { return vm.listing.has_value(); });
    const double share = active > 0 ? settings_.directoryBandwidth / static_cast<double>(active) : 0;
    const double seconds = std::chrono::duration<double>(step).count();
    for (Vm &vm : vms_) {
        if (!vm.listing || now_ - vm.listing->startedAt < settings_.directoryLatency) {
            continue;
        }
        // The records of a relay replaced the listing.
        if (!vm.node->isStarting()) {
            vm.listing.reset();
            continue;
        }
        const double bytes = std::min(share, vm.bandwidth) * seconds;
        vm.listing->receivedBytes += bytes;
        directoryBytes_ += bytes;
        if (vm.listing->receivedBytes >= settings_.listingBytes) {
            DirectoryPage page { .items = records(), .more = false, .lastKey = {}, .asOf = { 2 } };
            vm.answers.push_back({ .at = now_ + settings_.listingTime,
                                   .answer = { .callId = vm.listing->call.id, .result = std::move(page) } });
            vm.listing.reset();
        }
    }
}

void StartSimulation::deliverAnswers(Vm &vm)
{
    std::vector<ScheduledAnswer> due;
    std::erase_if(vm.answers, [&](const ScheduledAnswer &scheduled) {
        if (now_ >= scheduled.at) {
            due.push_back(scheduled);
            return true;
        }
        return false;
    });
    for (const ScheduledAnswer &scheduled : due) {
        if (scheduled.isStart) {
            vm.node->handleStartAnswer(scheduled.answer, now_);
        } else {
            vm.node->handleDirectoryAnswer(scheduled.answer, now_);
        }
    }
}

void StartSimulation::advanceRelayCalls(std::size_t number, std::optional<RelayCall> &call)
{
    if (!call) {
        return;
    }
    Vm &vm = vms_[number];
    Vm &relay = vms_[call->relay];
    const Duration elapsed = now_ - call->startedAt;
    if (elapsed >= (relay.started ? call->call.timeout : call->call.connectTimeout)) {
        fail(vm, call->call, call->isStart);
        call.reset();
    } else if (relay.started && !call->delivered) {
        call->delivered = true;
        relay.node->handleFollower(FollowerId { 2 * number + (call->isStart ? 1 : 0) },
                                   { .after = call->call.after,
                                     .catalogue = call->call.catalogue,
                                     .wait = call->call.wait,
                                     .listening = endpointOf(number),
                                     .zone = "kgd-north" },
                                   now_);
    }
}

void StartSimulation::sendRelayAnswers(std::size_t number)
{
    Vm &relay = vms_[number];
    for (const RelayAnswer &answer : relay.node->takeRelayAnswers(now_)) {
        Vm &vm = vms_[answer.follower.value / 2];
        const bool isStart = answer.follower.value % 2 == 1;
        std::optional<RelayCall> &call = isStart ? vm.startCall : vm.followCall;
        if (!call || call->relay != number) {
            continue;
        }
        DirectoryChanges changes = answer.changes;
        TimePoint at = now_ + latency;
        if (answer.records) {
            changes.items = *answer.records;
            const std::chrono::duration<double> transfer(settings_.recordsBytes
                                                         / std::min(relay.bandwidth, vm.bandwidth));
            const std::chrono::duration<double> occupied(settings_.recordsBytes / relay.bandwidth);
            relay.uplinkFreeAt = std::max(relay.uplinkFreeAt, now_) + std::chrono::duration_cast<Duration>(occupied);
            relay.sentBytes += settings_.recordsBytes;
            at = std::max(relay.uplinkFreeAt, now_ + std::chrono::duration_cast<Duration>(transfer))
                + settings_.recordsTime;
        }
        vm.answers.push_back(
            { .at = at, .answer = { .callId = call->call.id, .result = std::move(changes) }, .isStart = isStart });
        call.reset();
    }
}

std::optional<Duration> StartSimulation::readyAfter(double fraction) const
{
    std::vector<Duration> times;
    for (const Vm &vm : vms_) {
        if (vm.readyAt) {
            times.push_back(*vm.readyAt - start_);
        }
    }
    const auto wanted = static_cast<std::size_t>(fraction * static_cast<double>(vms_.size()));
    if (times.size() < wanted || wanted == 0) {
        return std::nullopt;
    }
    std::sort(times.begin(), times.end());
    return times[wanted - 1];
}

double StartSimulation::maxSentBytes() const
{
    return std::max_element(vms_.begin(),
                            vms_.end(),
                            [](const Vm &left, const Vm &right) { return left.sentBytes < right.sentBytes; })
        ->sentBytes;
}

} // namespace boragelug
