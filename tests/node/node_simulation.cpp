#include "tests/node/node_simulation.h"

#include "core/hash.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace boragelug
{
namespace
{

constexpr ServiceId ledger { 101 };
constexpr ServiceId inspection { 102 };

Endpoint endpointOf(std::uint32_t address, std::uint16_t port)
{
    return { .address = Ipv4Address { 0x0A000000 + address }, .port = Port { port } };
}

Entry makeEntry(const char *name, ServiceId service, const Endpoint &address, EntryKind kind)
{
    Entry entry;
    entry.name = EntryName { name };
    entry.owner = OwnerName { "brokers" };
    entry.service = service;
    entry.address = address;
    entry.kind = kind;
    entry.allowSpill = true;
    entry.maxDeadline = std::chrono::seconds(10);
    return entry;
}

Service makeService(ServiceId id, const char *name)
{
    return { .id = id, .name = name, .slotsPerHost = 3, .connectionsPerHost = 2000, .slowStart = {} };
}

} // namespace

NodeSimulation::NodeSimulation(std::size_t vms, std::uint64_t seed)
    : alive_(vms, true)
{
    for (std::uint32_t i = 0; i < 6; ++i) {
        upstreams_.push_back({ .id = UpstreamId { i + 1 },
                               .incarnation = Incarnation { 1 },
                               .service = i % 2 == 0 ? ledger : inspection,
                               .zone = ZoneId { 1 },
                               .tunnelEndpoint = endpointOf(1000 + i, 6081),
                               .httpEndpoint = endpointOf(1000 + i, 80),
                               .state = UpstreamState::Active });
    }
    for (std::uint32_t i = 0; i < vms; ++i) {
        const Vm vm { .id = VmId { i + 1 },
                      .incarnation = Incarnation { 1 },
                      .zone = ZoneId { 1 },
                      .packetEndpoint = endpointOf(i, 6081),
                      .peerEndpoint = endpointOf(i, 7000),
                      .state = VmState::Live };
        vms_.push_back(vm);
        EntryNodeSettings settings;
        settings.views.self = vm;
        settings.routing = { .maxFlows = 1000, .seed = seed + i };
        settings.requests.idKey = { std::byte { 1 } };
        settings.seed = seed + i;
        nodes_.push_back(std::make_unique<EntryNode>(settings, now_));
    }
}

void NodeSimulation::run(Duration duration)
{
    const TimePoint end = now_ + duration;
    while (now_ < end) {
        now_ += std::chrono::milliseconds(10);
        const bool wholeTick = now_.time_since_epoch() % std::chrono::milliseconds(100) == Duration::zero();
        for (std::size_t vm = 0; vm < nodes_.size(); ++vm) {
            if (alive_[vm]) {
                currentVm_ = vm;
                perform(wholeTick ? nodes_[vm]->tick(now_) : nodes_[vm]->tickRequests(now_));
            }
        }
        deliverAll();
    }
}

void NodeSimulation::deliverAll()
{
    while (!deliveries_.empty()) {
        const auto deliver = std::move(deliveries_.front());
        deliveries_.pop_front();
        deliver();
    }
}

UpstreamId NodeSimulation::sendPacket(std::size_t vm, const InnerPacket &inner)
{
    lastUpstream_ = {};
    if (!alive_[vm]) {
        return lastUpstream_;
    }
    TunnelPacket packet;
    packet.inner.resize(sizeof(std::size_t));
    const std::size_t index = headers_.size();
    std::memcpy(packet.inner.data(), &index, sizeof(index));
    headers_.push_back(inner);
    currentVm_ = vm;
    perform(nodes_[vm]->handlePacket(inner, std::move(packet), now_));
    deliverAll();
    return lastUpstream_;
}

void NodeSimulation::requestId(std::size_t vm, std::uint64_t token)
{
    currentVm_ = vm;
    perform(nodes_[vm]->handleIdRequest(
        { .caller = endpointOf(9000, 1), .token = token, .forwardedBy = std::nullopt, .entry = ledgerRequests }, now_));
}

void NodeSimulation::request(
    std::size_t vm, std::uint64_t token, const std::string &id, bool idempotent, const std::string &body)
{
    CallerRequest request;
    request.entry = ledgerRequests;
    request.idText = id;
    request.idempotent = idempotent;
    request.timeout = std::chrono::seconds(5);
    request.payload = std::make_shared<const std::string>(body);
    request.replyTo = {
        .caller = endpointOf(9000, 1), .token = token, .forwardedBy = std::nullopt, .entry = ledgerRequests
    };
    currentVm_ = vm;
    perform(nodes_[vm]->handleRequest(std::move(request), now_));
    deliverAll();
}

void NodeSimulation::kill(std::size_t vm)
{
    alive_[vm] = false;
    ++listVersion_;
    for (auto &[watchingVm, call] : std::exchange(longPolls_, {})) {
        currentVm_ = watchingVm;
        perform(call);
    }
}

ServiceId NodeSimulation::serviceOf(UpstreamId upstream) const
{
    return upstream.value == 0 ? ServiceId {} : upstreams_[upstream.value - 1].service;
}

std::optional<std::size_t> NodeSimulation::vmAt(const Endpoint &endpoint) const
{
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        if (vms_[vm].packetEndpoint == endpoint || vms_[vm].peerEndpoint == endpoint) {
            return vm;
        }
    }
    return std::nullopt;
}

void NodeSimulation::perform(NodeActions actions)
{
    const std::size_t vm = currentVm_;
    for (NodeAction &action : actions) {
        currentVm_ = vm;
        traceHash_ = combineHash(traceHash_, combineHash(vm, action.index()));
        std::visit([this](auto &known) { perform(known); }, action);
    }
}

void NodeSimulation::perform(SendPacket &action)
{
    const auto vm = vmAt(action.to);
    if (!vm) {
        const auto upstream = std::find_if(
            upstreams_.begin(), upstreams_.end(), [&](const Upstream &u) { return u.tunnelEndpoint == action.to; });
        // Like the kernel of a real host, an upstream accepts only the VNI of its own service.
        if (upstream != upstreams_.end() && upstream->service == action.packet.service) {
            lastUpstream_ = upstream->id;
            traceHash_ = combineHash(traceHash_, upstream->id.value);
        }
        return;
    }
    deliveries_.emplace_back([this, vm = *vm, packet = action.packet] {
        if (!alive_[vm]) {
            return;
        }
        std::size_t index = 0;
        std::memcpy(&index, packet.inner.data(), sizeof(index));
        currentVm_ = vm;
        perform(nodes_[vm]->handlePacket(headers_[index], packet, now_));
    });
}

void NodeSimulation::perform(DispatchAttempt &action)
{
    ++executions_[*action.payload];
    deliveries_.emplace_back([this, vm = currentVm_, action] {
        if (!alive_[vm]) {
            return;
        }
        UpstreamAnswer answer { .status = 200, .retryAfter = {}, .complete = true, .payload = action.payload };
        currentVm_ = vm;
        perform(nodes_[vm]->handleAttemptResult(action.attempt, action.upstreamIncarnation, std::move(answer), now_));
    });
}

void NodeSimulation::perform(ReplyToCaller &action)
{
    replies_[action.to.token].outcomes.push_back(action.outcome);
}

void NodeSimulation::perform(ReplyRequestId &action)
{
    replies_[action.to.token].requestId = action.requestId;
}

void NodeSimulation::perform(RelayRequest &action)
{
    deliveries_.emplace_back([this, vm = vmAt(action.to), action] {
        if (!vm || !alive_[*vm]) {
            return;
        }
        CallerRequest request = action.request;
        request.replyTo.token = action.option.forward;
        request.replyTo.forwardedBy = action.option.forwarder;
        currentVm_ = *vm;
        perform(nodes_[*vm]->handleRequest(std::move(request), now_));
    });
}

void NodeSimulation::perform(RelayOutcome &action)
{
    deliveries_.emplace_back([this, vm = vmAt(action.to), action] {
        if (vm && alive_[*vm]) {
            currentVm_ = *vm;
            perform(nodes_[*vm]->handleRelayedOutcome(action.option.forward, action.reply.outcome, now_));
        }
    });
}

void NodeSimulation::perform(SendPeer &action)
{
    deliveries_.emplace_back([this, vm = vmAt(action.to), from = vms_[currentVm_], message = action.message] {
        if (vm && alive_[*vm]) {
            currentVm_ = *vm;
            perform(nodes_[*vm]->handlePeerMessage(
                { .from = from.id, .incarnation = from.incarnation, .sentAt = {}, .message = message }, now_));
        }
    });
}

void NodeSimulation::perform(PlatformCall &action)
{
    const bool unchanged =
        action.resource == PlatformResource::VmList ? action.knownVersion == listVersion_ : action.knownVersion == 1;
    if (!platformReachable_ || (unchanged && action.wait > Duration::zero())) {
        longPolls_.emplace_back(currentVm_, action);
        return;
    }
    deliveries_.emplace_back([this, vm = currentVm_, answer = answerTo(action)] {
        if (alive_[vm]) {
            currentVm_ = vm;
            perform(nodes_[vm]->handlePlatformAnswer(answer, now_));
        }
    });
}

PlatformAnswer NodeSimulation::answerTo(const PlatformCall &call) const
{
    PlatformAnswer answer { .callId = call.id, .result = PlatformUnchanged {} };
    if (call.resource == PlatformResource::Index) {
        PlatformIndex index { .version = CatalogueVersion { 1 }, .parts = {} };
        for (const auto part : { parts::zones, parts::services, parts::firstEntries, parts::firstUpstreams }) {
            index.parts.push_back({ .part = part, .version = 1 });
        }
        answer.result = index;
    } else if (call.resource == PlatformResource::VmList) {
        VmList list { .zone = call.zone, .version = listVersion_, .vms = {} };
        for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
            if (alive_[vm]) {
                list.vms.push_back(vms_[vm]);
            }
        }
        answer.result = list;
    } else {
        PartContent content { .part = call.part, .version = 1, .items = {} };
        if (call.part == parts::zones) {
            content.items = { Zone { .id = ZoneId { 1 }, .name = "kgd-north", .region = "kz-central" } };
        } else if (call.part == parts::services) {
            content.items = { makeService(ledger, "ledger"), makeService(inspection, "inspection") };
        } else if (call.part == parts::firstEntries) {
            content.items = { makeEntry("price-board", ledger, ledgerFlows, EntryKind::Flows),
                              makeEntry("scans", inspection, inspectionFlows, EntryKind::Flows),
                              makeEntry("confirmations", ledger, ledgerRequests, EntryKind::Requests) };
        } else {
            content.items.assign(upstreams_.begin(), upstreams_.end());
        }
        answer.result = content;
    }
    return answer;
}

} // namespace boragelug
