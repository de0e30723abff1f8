/**
 * What VMs that read the directory pass on to others. Serialized with the compact protocol; each message follows its
 * length in four bytes, most significant first.
 */
namespace cpp boragelug.wire

struct RelayEndpoint {
  1: required i32 address
  2: required i32 port
}

struct RelayRequest {
  /** Everything after this revision is wanted. */
  1: required i64 after
  2: required i64 waitNanoseconds
  /** Where the sender passes on what it knows. */
  3: required RelayEndpoint listening
  /** Availability zone of the sender. */
  4: optional string zoneName
  /** Version of the catalogue that the sender has. */
  5: optional i64 catalogueVersion
  /** The sender reads RelayAnswer.packed. */
  6: optional bool acceptsPacked
  /** Returned with the answer. */
  7: optional i64 requestId
  /** 8 was a list of structs. */
  /**
   * Answers of upstreams since the last request of the sender, most significant bytes first. For each upstream its tag
   * (4 bytes), the number of answers (2) and their mean latency in 1/1024 of the usual one (2); neither is 0.
   */
  9: optional binary packedSpeeds
}

struct RelayUpstream {
  1: required string key
  2: required i64 revision
  3: required i64 id
  4: required i64 incarnation
  5: required string serviceName
  6: required string zoneName
  7: required RelayEndpoint address
  8: required i32 slots
  9: required bool draining
  10: required i64 coldNanoseconds
}

struct RelayRemoval {
  1: required string key
  2: required i64 revision
}

/** No new flow goes to upstreams of the zone. */
struct RelayEvacuation {
  1: required string key
  2: required i64 revision
  3: required string zoneName
}

struct RelayShare {
  1: required string serviceName
  2: required i32 weight
}

struct RelayEntry {
  1: required string name
  2: required RelayEndpoint address
  3: required list<RelayShare> services
  4: required bool idempotent
  5: required i64 objectiveNanoseconds
  6: required i64 timeoutNanoseconds
  7: required i32 priority
}

/** A service whose cold upstreams have a limit. */
struct RelayService {
  1: required string name
  2: required i64 coldStartNanoseconds
  3: required double coldRequestsPerSecond
}

struct RelayCatalogue {
  1: required string key
  2: required i64 revision
  3: required i64 version
  4: required list<RelayEntry> entries
  5: optional i64 flowIdleNanoseconds
  /** Set if these are only the changes from that version. */
  6: optional i64 baseVersion
  /** Addresses of the entries that were removed since that version. */
  7: optional list<RelayEndpoint> removed
  /** All of them, also among changes. */
  8: optional list<RelayService> services
}

/** Records, which RelayAnswer.packed contains compressed with Zstandard. */
struct RelayRecords {
  1: required list<RelayUpstream> upstreams
  2: required list<RelayRemoval> removals
  3: optional RelayCatalogue catalogue
  4: optional list<RelayEvacuation> evacuations
}

struct RelayAnswer {
  1: required i64 asOf
  /** Time since the sender was certainly up to date. */
  2: required i64 ageNanoseconds
  /** Time since an outage of the directory ended, while it matters. */
  3: optional i64 outageNanoseconds
  4: required list<RelayUpstream> upstreams
  5: required list<RelayRemoval> removals
  6: optional RelayCatalogue catalogue
  /** Whom to ask instead. */
  7: optional RelayEndpoint elsewhere
  /** RelayRecords in place of the fields 4 to 6, which are empty then. */
  8: optional binary packed
  /** That of the request. */
  9: optional i64 requestId
  /** The upstreams are all that exist: the receiver removes any other one. */
  10: optional bool complete
  11: optional list<RelayEvacuation> evacuations
  /** 12 was a list of structs. */
  /**
   * Upstreams that are slower than the others of their service, most significant bytes first. For each its tag (4 bytes)
   * and its latency in hundredths of that of the others (2), above 100. They replace those of earlier answers, which
   * otherwise stay until they expire.
   */
  13: optional binary packedSlowUpstreams
}
