/**
 * Messages between nodes. Every datagram and every frame starts with a version byte, followed by the struct in compact
 * encoding; a receiver rejects versions that it does not know.
 */
namespace cpp acaciaslip.protocol.wire

struct condition_change {
  1: required string server
  2: required i32 condition
  3: required i32 limit
  4: optional string boot
  5: optional i64 epoch
  6: optional i32 health
}

struct value_revision {
  1: required string key
  2: required i64 number
}

struct introduced_host {
  1: required string id
  2: required string address
  3: required string dataCentre
}

/** One datagram. Loads are two lists of equal length, because this encoding is smaller than a list of structs. */
struct peer_message {
  1: required string sender
  2: required i64 incarnation
  3: required i64 sequence
  4: optional bool leaving
  5: optional i64 question
  6: optional i64 answerTo
  7: optional list<i32> loadServers
  8: optional list<i32> loadCounts
  9: optional list<condition_change> conditions
  10: optional list<value_revision> revisions
  11: optional list<introduced_host> introduced
  12: optional i64 echoIncarnation
  13: optional i64 echoSequence
}

/** Request over TCP for a value newer than a revision. */
struct value_request {
  1: required string key
  2: required i64 after
}

/** Reply to a value_request; number 0 means that there is no newer value. */
struct value_answer {
  1: required string key
  2: required i64 number
  3: required binary body
}
