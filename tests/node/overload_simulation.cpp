#include "overload_simulation.h"

#include "routing/flow_tag.h"

#include <utility>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

const Endpoint entry { .address = { 0xc6120001 }, .port = { 443 } };
constexpr Duration oneWay = 1ms;
constexpr Duration openingTimeout = 1400ms;
constexpr std::size_t maxTries = 3;
constexpr std::uint32_t firstCaller = 0x64400001;
constexpr std::size_t portsOfCaller = 60'000;
constexpr std::uint32_t firstSequence = 1000;
constexpr std::uint16_t requestBytes = 900;

DirectoryPage records(const OverloadSettings &settings)
{
    CatalogueRecord catalogue;
    catalogue.version = CatalogueVersion { 1 };
    catalogue.entries = { { .name = EntryName { "ledger" },
                            .address = entry,
                            .services = { { .service = "ledger", .weight = 1 } },
                            .idempotent = false,
                            .latencyObjective = settings.objective,
                            .timeout = settings.timeout,
                            .priority = 1 } };
    DirectoryPage page;
    page.asOf = DirectoryRevision { 1 };
    page.items.push_back({ .key = "catalogue", .revision = { 1 }, .content = catalogue });
    for (std::size_t id = 1; id <= settings.hosts; ++id) {
        UpstreamRecord record;
        record.id = UpstreamId { id };
        record.incarnation = Incarnation { 1 };
        record.service = "ledger";
        record.zone = "home";
        record.address = { .address = { static_cast<std::uint32_t>(id) }, .port = { 80 } };
        record.slots = static_cast<std::uint32_t>(settings.slots);
        page.items.push_back({ .key = "host" + std::to_string(id), .revision = { 1 }, .content = record });
    }
    return page;
}

} // namespace

OverloadSimulation::OverloadSimulation(const OverloadSettings &settings)
    : settings_(settings)
    , random_(settings.seed)
    , start_(100s)
    , now_(start_)
    , hosts_(settings.hosts)
{ }

void OverloadSimulation::after(Duration delay, std::function<void()> action)
{
    later_.push({ .at = now_ + delay, .order = ++order_, .action = std::move(action) });
}

void OverloadSimulation::startVms()
{
    vms_.clear();
    for (std::size_t i = 0; i < settings_.vms; ++i) {
        TaggedNodeSettings node;
        node.mirror.zone = "home";
        node.routing.admission = settings_.admission;
        node.seed = settings_.seed + i;
        node.routing.seed = settings_.seed + i;
        vms_.push_back(std::make_unique<TaggedNode>(node));
        const auto call = vms_.back()->nextCall(now_);
        vms_.back()->handleDirectoryAnswer({ .callId = call->id, .result = records(settings_) }, now_);
    }
}

void OverloadSimulation::run()
{
    startVms();
    after(settings_.outageAt + settings_.outage, [this] {
        if (settings_.outage > Duration::zero()) {
            startVms();
        }
    });
    after(settings_.lossAt, [this] {
        for (std::size_t i = 0; i < settings_.lostHosts; ++i) {
            hosts_[i].lost = true;
        }
    });
    ask();
    while (!later_.empty()) {
        const Later next = later_.top();
        later_.pop();
        now_ = next.at;
        next.action();
        for (const auto &vm : vms_) {
            for (const DequeuedPacket &dequeued : vm->takeDequeued(now_, events_)) {
                carryOut(dequeued.packet.head, dequeued.decision);
            }
        }
    }
}

void OverloadSimulation::ask()
{
    if (now_ - start_ >= settings_.length) {
        return;
    }
    requests_.push_back({ .askedAt = now_ });
    startTry(requests_.size() - 1, 1);
    const std::chrono::duration<double> gap((0.5 + random_.unit()) / settings_.requestsPerSecond);
    after(std::chrono::duration_cast<Duration>(gap), [this] { ask(); });
}

void OverloadSimulation::startTry(std::size_t request, std::size_t tries)
{
    if (now_ - requests_[request].askedAt >= settings_.timeout) {
        return;
    }
    const std::size_t index = tries_.size();
    tries_.push_back({ .request = request, .port = static_cast<std::uint16_t>(1 + index % portsOfCaller) });
    sendSyn(index, 0);
    after(200ms, [this, index] { sendSyn(index, 1); });
    after(600ms, [this, index] { sendSyn(index, 2); });
    after(openingTimeout, [this, index, request, tries] {
        if (!tries_[index].opened && tries < maxTries) {
            startTry(request, tries + 1);
        }
    });
}

FlowPacket OverloadSimulation::packetOf(std::size_t tryIndex) const
{
    FlowPacket packet;
    packet.caller = { .address = { firstCaller + static_cast<std::uint32_t>(tryIndex / portsOfCaller) },
                      .port = { tries_[tryIndex].port } };
    packet.entry = entry;
    packet.sequence = firstSequence;
    return packet;
}

void OverloadSimulation::sendSyn(std::size_t tryIndex, std::uint32_t copies)
{
    if (tries_[tryIndex].opened) {
        return;
    }
    FlowPacket packet = packetOf(tryIndex);
    packet.syn = true;
    packet.synCopies = copies;
    after(oneWay, [this, packet, tryIndex] { deliver(packet, tryIndex); });
}

// The caller's packets on an open flow: its request acknowledges the opening, and the last one the answer.
void OverloadSimulation::sendOnFlow(std::size_t tryIndex, std::size_t host, std::uint32_t acknowledged)
{
    FlowPacket packet = packetOf(tryIndex);
    packet.tag = flowTagOf(UpstreamId { host + 1 }, Incarnation { 1 });
    packet.ack = true;
    packet.acknowledged = acknowledged;
    packet.sequence = firstSequence + 1;
    if (acknowledged == 1) {
        packet.dataBytes = requestBytes;
    } else {
        packet.fin = true;
        packet.sequence += requestBytes;
    }
    after(2 * oneWay, [this, packet, tryIndex] { deliver(packet, tryIndex); });
}

bool OverloadSimulation::isDark() const
{
    const Duration time = now_ - start_;
    return time >= settings_.outageAt && time < settings_.outageAt + settings_.outage;
}

void OverloadSimulation::deliver(const FlowPacket &packet, std::size_t tryIndex)
{
    if (isDark()) {
        return;
    }
    TaggedNode &vm = *vms_[tryIndex % vms_.size()];
    carryOut(packet, vm.handlePacket(packet, now_, events_));
}

void OverloadSimulation::carryOut(const FlowPacket &packet, const TaggedDecision &decision)
{
    const auto *forward = std::get_if<ForwardPacket>(&decision);
    if (forward == nullptr || !packet.syn) {
        return;
    }
    const std::size_t host = forward->upstream.value - 1;
    const std::size_t tryIndex =
        (packet.caller.address.value - firstCaller) * portsOfCaller + packet.caller.port.value - 1;
    after(oneWay, [this, host, tryIndex] { arrive(host, tryIndex); });
}

void OverloadSimulation::arrive(std::size_t host, std::size_t tryIndex)
{
    Host &place = hosts_[host];
    if (place.lost || tries_[tryIndex].opened || place.queue.size() >= settings_.queue) {
        return;
    }
    tries_[tryIndex].opened = true;
    sendOnFlow(tryIndex, host, 1);
    if (place.working < settings_.slots) {
        work(host, tryIndex);
    } else {
        place.queue.push_back(tryIndex);
    }
}

void OverloadSimulation::work(std::size_t host, std::size_t tryIndex)
{
    ++hosts_[host].working;
    const std::chrono::duration<double, std::nano> time = settings_.meanWork * (0.5 + random_.unit());
    after(std::chrono::duration_cast<Duration>(time), [this, host, tryIndex] {
        Host &place = hosts_[host];
        --place.working;
        SimulatedRequest &request = requests_[tries_[tryIndex].request];
        if (!request.answered && !place.lost) {
            request.answered = true;
            request.time = now_ + oneWay - request.askedAt;
            sendOnFlow(tryIndex, host, 2);
        }
        if (!place.queue.empty()) {
            const std::size_t next = place.queue.front();
            place.queue.pop_front();
            work(host, next);
        }
    });
}

double OverloadSimulation::answeredRatio(Duration from, Duration until, Duration limit) const
{
    std::size_t asked = 0;
    std::size_t answered = 0;
    for (const SimulatedRequest &request : requests_) {
        const Duration at = request.askedAt - start_;
        if (at >= from && at < until) {
            ++asked;
            answered += request.answered && request.time <= limit ? 1 : 0;
        }
    }
    return asked == 0 ? 1 : static_cast<double>(answered) / static_cast<double>(asked);
}

} // namespace boragelug
