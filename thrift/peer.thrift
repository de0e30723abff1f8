/** Messages between entry VMs. Serialized with the compact protocol, one envelope a datagram, followed by its HMAC. */
namespace cpp boragelug.wire

struct Endpoint {
  1: required i32 address
  2: required i32 port
}

struct Vm {
  1: required i64 id
  2: required i64 incarnation
  3: required i16 zone
  4: required Endpoint packetEndpoint
  5: required Endpoint peerEndpoint
  6: required i8 state
}

struct MemberUpdate {
  1: required Vm vm
  2: required i8 health
  3: required i32 refutation
}

struct Probe {
  1: required i64 nonce
  2: required i64 catalogueVersion
  3: required list<MemberUpdate> updates
}

struct ProbeAck {
  1: required i64 nonce
  2: required i64 subject
  3: required i64 catalogueVersion
  4: required list<MemberUpdate> updates
}

struct ProbeRequest {
  1: required i64 nonce
  2: required i64 target
}

struct PartDigest {
  1: required i16 part
  2: required i64 version
  3: required i64 contentHash
}

struct ViewDigest {
  1: required i64 catalogueVersion
  2: required list<PartDigest> parts
}

struct ViewPull {
  1: required i16 part
  2: required i64 sinceVersion
}

struct Zone {
  1: required i16 id
  2: required string name
  3: required string region
}

struct Service {
  1: required i32 id
  2: required string name
  3: required i32 slotsPerHost
  4: required i32 connectionsPerHost
  5: required i64 slowStartNanoseconds
}

struct Limits {
  1: required i32 requestsPerSecond
  2: required i32 requestsInProgress
  3: required i32 newFlowsPerSecond
  4: required i64 openFlows
  5: required i64 bytesPerSecond
}

struct Entry {
  1: required string name
  2: required string owner
  3: required i32 serviceId
  4: required Endpoint address
  5: required i8 kind
  6: required i8 importance
  7: required i8 prefer
  8: required bool allowSpill
  9: required i64 maxDeadlineNanoseconds
  10: required Limits limits
}

struct Upstream {
  1: required i64 id
  2: required i64 incarnation
  3: required i32 serviceId
  4: required i16 zone
  5: required Endpoint tunnelEndpoint
  6: required Endpoint httpEndpoint
  7: required i8 state
}

union ItemBody {
  1: Zone zoneItem
  2: Service serviceItem
  3: Entry entryItem
  4: Upstream upstreamItem
}

struct ViewItem {
  1: required i64 version
  2: required bool removed
  3: required ItemBody item
}

struct ViewDelta {
  1: required i16 part
  2: required i64 fromVersion
  3: required i64 toVersion
  4: required list<ViewItem> items
}

struct FlowRecord {
  1: required i64 key
  2: required i32 serviceId
  3: required i64 upstream
  4: required i64 upstreamIncarnation
}

struct FlowEntries {
  1: required bool hint
  2: required list<FlowRecord> records
}

struct LoadItem {
  1: required i64 upstream
  2: required i64 incarnation
  3: required double load
  4: required bool healthy
  5: required i64 ageNanoseconds
}

struct LoadDigest {
  1: required list<LoadItem> items
}

struct SlotLease {
  1: required i64 nonce
  2: required i64 upstream
  3: required i64 upstreamIncarnation
  4: required i32 count
}

struct SlotLeaseReply {
  1: required i64 nonce
  2: required i64 upstream
  3: required i32 granted
  4: required i64 validForNanoseconds
}

struct DemandItem {
  1: required i64 entryHash
  2: required double requestsPerSecond
  3: required double newFlowsPerSecond
}

struct DemandReport {
  1: required list<DemandItem> items
}

union Body {
  1: Probe probe
  2: ProbeAck probeAck
  3: ProbeRequest probeRequest
  4: ViewDigest viewDigest
  5: ViewPull viewPull
  6: ViewDelta viewDelta
  7: FlowEntries flowEntries
  8: LoadDigest loadDigest
  9: SlotLease slotLease
  10: SlotLeaseReply slotLeaseReply
  11: DemandReport demandReport
}

struct Envelope {
  1: required i64 sender
  2: required i64 incarnation
  3: required i64 sequence
  /** Hybrid logical time of sending. */
  4: required i64 wallMicroseconds
  5: required i32 counter
  6: required Body body
}
