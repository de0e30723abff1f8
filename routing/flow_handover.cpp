#include "routing/flow_router_impl.h"

#include <algorithm>
#include <array>

namespace boragelug
{
namespace
{

/// Table slots checked in one tick; takes about 100 microseconds.
constexpr FlowTable::Slot entriesPerTick = 8192;
/// Upper bounds of encoded sizes: of a message header with HMAC, and of a record, which consists of four
/// variable-length integers with field headers.
constexpr std::size_t messageHeaderBytes = 80;
constexpr std::size_t recordBytes = 40;
/// Limits messages to 1,200 bytes.
constexpr std::size_t recordsPerMessage = 27;

constexpr FlowTick halfOpenLifetime = toTicks(std::chrono::seconds(75));
constexpr FlowTick endedLifetime = toTicks(std::chrono::seconds(60));
constexpr FlowTick datagramLifetime = toTicks(std::chrono::seconds(300));
/// Longer than the usual TCP keep-alive interval of two hours.
constexpr FlowTick establishedLifetime = toTicks(std::chrono::minutes(135));

FlowTick lifetime(const FlowEntry &entry)
{
    switch (entry.state) {
    case FlowState::HalfOpen:
        return halfOpenLifetime;
    case FlowState::Ended:
        return endedLifetime;
    case FlowState::Established:
        break;
    }
    return entry.datagram ? datagramLifetime : establishedLifetime;
}

} // namespace

bool FlowRouter::Impl::Outbox::add(VmId to, const FlowRecord &record, bool hint)
{
    for (OutgoingMessage &outgoing : messages) {
        auto &entries = std::get<FlowEntries>(outgoing.message);
        if (outgoing.to == to && entries.hint == hint && entries.records.size() < recordsPerMessage) {
            if (spent + recordBytes > budget) {
                return false;
            }
            spent += recordBytes;
            entries.records.push_back(record);
            return true;
        }
    }
    if (spent + messageHeaderBytes + recordBytes > budget) {
        return false;
    }
    spent += messageHeaderBytes + recordBytes;
    messages.push_back({ to, FlowEntries { hint, { record } } });
    return true;
}

void FlowRouter::Impl::receive(const FlowEntries &entries, VmId from, TimePoint now)
{
    if (!view_ || !isMember(from) || from == self()) {
        counters_.recordsRejected += entries.records.size();
        return;
    }
    const FlowTick tick = toTicks(now.time_since_epoch());
    for (const FlowRecord &record : entries.records) {
        const UpstreamChoice choice { record.upstream, record.upstreamIncarnation };
        const UpstreamRegistry::Slot upstream = upstreams_.resolve(choice, record.service);
        const RegisteredUpstream &registered = upstreams_.at(upstream);
        const bool valid = choice && registered.service == record.service
            && registered.presence != UpstreamPresence::Removed && registered.presence != UpstreamPresence::Replaced;
        if (!valid) {
            ++counters_.recordsRejected;
            continue;
        }
        ++(entries.hint ? counters_.hintsReceived : counters_.repairsReceived);
        Slot slot = table_.find(record.key);
        if (slot == FlowTable::none) {
            slot = insert(record.key, upstream, FlowState::Established, tick);
        } else if (isActingPrimary(OwnerTable::bucketOf(record.key))) {
            // The primary's own entry is at least as new as any copy.
            continue;
        } else if (table_.at(slot).upstream != upstream) {
            setUpstream(table_.at(slot), upstream);
            setState(slot, FlowState::Established, tick);
        }
        table_.at(slot).confirmedAt = tick;
    }
}

std::vector<OutgoingMessage> FlowRouter::Impl::tick(TimePoint now, std::size_t byteBudget)
{
    if (!view_) {
        return {};
    }
    maintain(now);
    Outbox outbox;
    outbox.budget = byteBudget;
    sendPending(outbox, false);
    handOver(outbox, now);
    sendPending(outbox, true);
    counters_.bytesSent += outbox.spent;
    return std::move(outbox.messages);
}

std::size_t FlowRouter::Impl::handoverRemaining() const
{
    if (!view_ || handedOverOwners_ == owners_.currentPointer()) {
        return 0;
    }
    return std::min(table_.size(), table_.capacity() - handoverCursor_);
}

/// Removes expired flows, and updates this VM's counts of flows as primary after a change of owners.
void FlowRouter::Impl::maintain(TimePoint now)
{
    const FlowTick tick = toTicks(now.time_since_epoch());
    const auto capacity = static_cast<Slot>(table_.capacity());
    for (Slot checked = 0; checked < std::min(entriesPerTick, capacity); ++checked) {
        const Slot slot = maintainCursor_;
        maintainCursor_ = slot + 1 < capacity ? slot + 1 : 0;
        if (!table_.used(slot)) {
            continue;
        }
        FlowEntry &entry = table_.at(slot);
        if (tick >= entry.lastSeen + lifetime(entry)) {
            ++counters_.expired;
            erase(slot);
            continue;
        }
        if (entry.state == FlowState::Ended) {
            continue;
        }
        if (isActingPrimary(OwnerTable::bucketOf(entry.key))) {
            count(entry);
        } else {
            uncount(entry);
        }
    }
}

/// Sends the entries of idle flows to their new owners; those of active flows are replicated with their next packet.
void FlowRouter::Impl::handOver(Outbox &outbox, TimePoint now)
{
    if (handedOverOwners_ == owners_.currentPointer()) {
        return;
    }
    const auto capacity = static_cast<Slot>(table_.capacity());
    for (Slot checked = 0; checked < entriesPerTick && handoverCursor_ < capacity; ++checked) {
        if (table_.used(handoverCursor_) && !sendToNewOwners(outbox, table_.at(handoverCursor_), now)) {
            return;
        }
        ++handoverCursor_;
    }
    if (handoverCursor_ >= capacity) {
        handedOverOwners_ = owners_.currentPointer();
        handoverCursor_ = 0;
    }
}

/// Sends the entry to the owners that weren't owners at the last handover, if this VM is the one that has to. Returns
/// false if the byte budget is used up.
bool FlowRouter::Impl::sendToNewOwners(Outbox &outbox, FlowEntry &entry, TimePoint now)
{
    const std::uint32_t bucket = OwnerTable::bucketOf(entry.key);
    const OwnerTable &owners = owners_.current();
    if (entry.state != FlowState::Established || !isHandoverSender(entry, bucket)
        || (owners.primary(bucket) == self() && entry.confirmedAt > owners_.changedAt(bucket))) {
        return true;
    }
    const ZoneId zone = upstreams_.at(entry.upstream).zone;
    const std::array<VmId, 3> targets { owners.primary(bucket),
                                        owners.secondary(bucket),
                                        owners.zoneOwner(bucket, zone) };
    const std::array<VmId, 3> formerOwners { handedOverOwners_->primary(bucket),
                                             handedOverOwners_->secondary(bucket),
                                             handedOverOwners_->zoneOwner(bucket, zone) };
    for (const VmId target : targets) {
        if (target.value == 0 || target == self() || !reachable(target)
            || std::ranges::find(formerOwners, target) != formerOwners.end()) {
            continue;
        }
        if (!outbox.add(target, recordOf(entry), false)) {
            return false;
        }
        ++counters_.handoverRecordsSent;
    }
    if (owners.primary(bucket) == self()) {
        entry.confirmedAt = toTicks(now.time_since_epoch());
    }
    return true;
}

/// Whether this VM is the first reachable one of the former owners, in the order of rank; only that one sends the
/// entry.
bool FlowRouter::Impl::isHandoverSender(const FlowEntry &entry, std::uint32_t bucket) const
{
    const ZoneId zone = upstreams_.at(entry.upstream).zone;
    const std::array<VmId, 3> formerOwners { handedOverOwners_->primary(bucket),
                                             handedOverOwners_->secondary(bucket),
                                             handedOverOwners_->zoneOwner(bucket, zone) };
    for (const VmId formerOwner : formerOwners) {
        if (formerOwner.value != 0 && reachable(formerOwner)) {
            return formerOwner == self();
        }
    }
    return false;
}

/// Sends the queued hints or repairs, as far as the byte budget allows; discards those whose flow was erased or whose
/// receiver is unreachable.
void FlowRouter::Impl::sendPending(Outbox &outbox, bool hints)
{
    std::vector<PendingRecord> &pending = hints ? hints_ : repairs_;
    std::size_t processed = 0;
    for (; processed < pending.size(); ++processed) {
        const PendingRecord &record = pending[processed];
        const Slot slot = table_.find(record.key);
        if (slot == FlowTable::none || !reachable(record.to)) {
            continue;
        }
        if (!outbox.add(record.to, recordOf(table_.at(slot)), hints)) {
            break;
        }
        counters_.hintRecordsSent += hints ? 1 : 0;
    }
    pending.erase(pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(processed));
}

FlowRecord FlowRouter::Impl::recordOf(const FlowEntry &entry) const
{
    const RegisteredUpstream &upstream = upstreams_.at(entry.upstream);
    return { entry.key, upstream.service, upstream.choice.upstream, upstream.choice.incarnation };
}

} // namespace boragelug
