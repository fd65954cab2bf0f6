/**
 * Messages between routers. Each Frame is sent with the compact protocol behind a 4-byte big-endian length.
 * Times are sent as remaining ms, never as clock readings, because clocks of VMs differ by seconds.
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
  DAY_COUNTERS = 9, DIRECTORY = 10
}

/** One last-writer-wins entry; remainingMs 0 means that it does not expire. An absent value is a tombstone. */
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

/** Routers of one data centre, the value of a DIRECTORY entry. */
struct Directory { 1: required list<Member> members }

/**
 * Hashes of the durable entries: one hash over all buckets, or one for each bucket if the receiver differs.
 * With fleetWide, only kinds that spread between data centres are covered.
 */
struct Digest { 1: required list<i64> bucketHashes, 2: required bool reply, 3: required bool fleetWide }

/** Identity of one entry without its value. */
struct EntryVersion {
  1: required EntryKind kind
  2: required string key
  3: required i64 version
  4: required string origin
}

/** All entries that the sender holds in the buckets; the receiver answers with what is newer on its side. */
struct BucketRequest {
  1: required list<i32> buckets
  2: required list<EntryVersion> versions
  3: required bool fleetWide
}

/** Entries that the sender lacks or holds in a lower version. */
struct EntryRequest { 1: required list<EntryVersion> wanted }

/** Offered load of one caller, in thousandths of requests/s, tokens/s and thousandths of requests. */
struct CallerDemand {
  1: required string caller
  2: required i64 milliRequestsPerS
  3: required i64 tokensPerS
  4: required i64 milliConcurrent
}

/** Share of one caller's limits; floorPermille is the part of the contracted floors, in thousandths. */
struct CallerShare {
  1: required string caller
  2: required i64 milliRequestsPerS
  3: required i64 tokensPerS
  4: required i64 milliConcurrent
  5: required i32 floorPermille
}

/**
 * Demand of one router (inside a data centre) or of one data centre (between them) for the callers of a bucket.
 * A whole report replaces earlier ones. The optional fields: the data centre and its owner of the bucket; data centres
 * that this owner does not hear; the shares that a router holds, for an owner that has just taken over.
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

/** Shares that the owner of a bucket grants to one router. */
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
}

struct Frame {
  1: required i32 protocolVersion
  2: required Member sender
  3: required Message message
}
