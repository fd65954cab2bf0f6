/**
 * Messages between routers. Each Frame is encoded with the compact protocol and prefixed with its length as 4 bytes,
 * big-endian. Times are sent as remaining ms instead of timestamps, because the clocks of VMs differ by seconds.
 */
namespace java io.radishwinch.protocol.generated

enum MemberState { ALIVE = 1, SUSPECT = 2, DEAD = 3, LEFT = 4 }

/** State of one router; a higher incarnation wins, then the higher state. */
struct Member {
  1: required string id
  2: required string dataCentre
  3: required string host
  4: required i32 port
  5: required i64 incarnation
  6: required MemberState state
}

enum EntryKind {
  CONFIGURATION = 1, QUARANTINE = 2, CRASH = 3, EJECTION = 4, LEAVING = 5, ENDPOINT_LOAD = 6, PLACEMENT = 7, DEMAND = 8,
  DAY_COUNTERS = 9, DIRECTORY = 10, PROMPT_CRASH = 11, PROVEN_PART = 12, REQUEST_LIMIT = 13
}

/** A last-writer-wins entry. With remainingMs 0 it does not expire; without a value it is a tombstone. */
struct Entry {
  1: required EntryKind kind
  2: required string key
  3: required i64 version
  4: required string origin
  5: optional binary value
  6: required i64 remainingMs
}

struct Ping { 1: required i64 sequence, 2: required list<Member> members }
struct PingRequest { 1: required i64 sequence, 2: required string targetId, 3: required list<Member> members }
struct Ack { 1: required i64 sequence, 2: required string aboutId, 3: required list<Member> members }
struct Delta { 1: required list<Entry> entries }

/** The routers of one data centre; value of a DIRECTORY entry. */
struct Directory { 1: required list<Member> members }

/**
 * Hashes of the durable entries: one hash over all buckets, or one per bucket in a reply if the receiver's hash differs
 * or the sender has not read or received all entries yet.
 * With fleetWide, the hashes cover only the kinds that are replicated across data centres.
 */
struct Digest { 1: required list<i64> bucketHashes, 2: required bool reply, 3: required bool fleetWide }

/** Identity of an entry, without its value. */
struct EntryVersion {
  1: required EntryKind kind
  2: required string key
  3: required i64 version
  4: required string origin
}

/**
 * Versions of all entries of the sender in the buckets.
 * The receiver responds with the entries that it has in a newer version.
 */
struct BucketRequest {
  1: required list<i32> buckets
  2: required list<EntryVersion> versions
  3: required bool fleetWide
}

/** Requests entries that the sender lacks or has in an older version. */
struct EntryRequest { 1: required list<EntryVersion> wanted }

/** Offered load of a caller, in thousandths of requests/s, in tokens/s and in thousandths of concurrent requests. */
struct CallerDemand {
  1: required string caller
  2: required i64 milliRequestsPerS
  3: required i64 tokensPerS
  4: required i64 milliConcurrent
}

/** Share of the limits of a caller; floorPermille is the share of its contracted floors, in thousandths. */
struct CallerShare {
  1: required string caller
  2: required i64 milliRequestsPerS
  3: required i64 tokensPerS
  4: required i64 milliConcurrent
  5: required i32 floorPermille
}

/**
 * Demand for the callers of a bucket: of one router within a data centre, or of one data centre for the others.
 * With whole, the report replaces all earlier reports. Optional fields: dataCentre and origin name the data centre and
 * the owner of the bucket there; unheard lists the data centres from which that owner receives no reports; held contains
 * the current shares of a router, for a new owner of the bucket.
 */
struct DemandReport {
  1: required i32 bucket
  2: required i64 sequence
  3: required bool whole
  4: required list<CallerDemand> demands
  5: optional string dataCentre
  6: optional string origin
  7: optional list<string> unheard
  8: optional list<CallerShare> held
}

/** Shares that the owner of a bucket grants to a router. */
struct ShareGrant {
  1: required i32 bucket
  2: required i64 sequence
  3: required list<CallerShare> shares
}

enum JournalStep { OPEN = 1, COMPLETE = 2, ABANDON = 3 }
enum JournalResult { GRANTED = 1, REPLAY = 2, IN_PROGRESS = 3, OUTCOME_UNKNOWN = 4, KEY_REUSED = 5, UNAVAILABLE = 6, RECORDED = 7 }

struct JournalRequest {
  1: required i64 sequence
  2: required JournalStep step
  3: required string caller
  4: required string idempotencyKey
  5: required binary fingerprint
  6: required string grantNonce
  7: optional binary outcome
}

struct JournalReply {
  1: required i64 sequence
  2: required JournalResult result
  3: required string grantNonce
  4: optional binary outcome
}

/**
 * Sent by a router that receives the platform's changes to the members of its data centre. fleetHash is the hash of its
 * fleet-wide durable entries; relistGraceMs is the remaining time in which the platform may list endpoints again that it
 * removed during an outage, or -1 if the sender no longer receives the changes.
 */
struct PlatformHeartbeat { 1: required i64 fleetHash, 2: required i64 relistGraceMs }

enum LoadScope { ROUTER = 1, DATA_CENTRE = 2, FLEET = 3 }

/**
 * Load on endpoints: of the sender, the sum over its data centre, or the sum over all data centres. A sum over all data
 * centres is forwarded along the tree of the collector that computed it; hops counts the senders so far.
 */
struct EndpointLoads {
  1: required LoadScope scope
  2: required binary loads
  3: optional string collector
  4: optional i32 hops
}

union Message {
  1: Ping ping
  2: PingRequest pingRequest
  3: Ack ack
  4: Delta delta
  5: Digest digest
  6: BucketRequest bucketRequest
  7: JournalRequest journalRequest
  8: JournalReply journalReply
  9: EntryRequest entryRequest
  10: DemandReport demandReport
  11: ShareGrant shareGrant
  12: PlatformHeartbeat platformHeartbeat
  13: EndpointLoads endpointLoads
}

struct Frame {
  1: required i32 protocolVersion
  2: required Member sender
  3: required Message message
}
