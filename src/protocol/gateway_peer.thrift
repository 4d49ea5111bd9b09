/**
 * Messages between gateway nodes. Every datagram and every body starts with a version byte, followed by the struct in
 * compact encoding; a receiver rejects versions that it does not know. Durations are in microseconds.
 */
namespace cpp acaciaslip.protocol.gateway_wire

struct split_part {
  1: required string serviceName
  2: required i32 weight
}

struct route {
  1: required string name
  2: required string host
  3: required string pathPrefix
  4: required i32 kind
  5: required i64 objective
  6: required i64 timeout
  7: required i32 attempts
  8: required i32 priority
  9: required list<split_part> split
  10: optional bool anonymous
}

/** Without a priority, the routes' priorities apply. */
struct team {
  1: required string name
  2: required list<string> keys
  3: optional i32 priority
  4: required double ratePerSecond
  5: required double burst
}

struct service_description {
  1: required string name
  2: required string healthPath
  3: required i32 maxConnections
  4: required i64 coldStart
  5: required double coldRequestsPerSecond
}

struct configuration {
  1: required i64 version
  2: required i64 headerBytes
  3: required i64 bodyBytes
  4: required i64 headerTimeout
  5: required i64 idleTimeout
  6: required list<route> routes
  7: required list<service_description> services
  8: optional list<team> teams
}

struct server_entry {
  1: required string serviceName
  2: required string address
  3: required string dataCentre
  4: required i32 slots
  5: required bool draining
  6: required i64 coldLeft
  7: required i64 startedAtUnixMs
}

/** A server at a revision; without an entry, the server was removed at that revision. */
struct revised_server {
  1: required string id
  2: required i64 number
  3: optional server_entry entry
}

struct revised_evacuation {
  1: required string dataCentre
  2: required i64 number
  3: required bool evacuated
}

struct route_key {
  1: required string host
  2: required string pathPrefix
}

/** The parts in which a configuration differs from earlier ones; services are given if any of them has changed. */
struct configuration_changes {
  1: required i64 number
  2: required i64 version
  3: required i64 headerBytes
  4: required i64 bodyBytes
  5: required i64 headerTimeout
  6: required i64 idleTimeout
  7: required list<route> routes
  8: required list<route_key> removedRoutes
  9: optional list<service_description> services
  10: required i64 digest
  11: optional list<team> teams
  12: optional list<string> removedTeams
}

struct fleet_delta {
  1: required bool snapshot
  2: required i64 after
  3: required i64 asOf
  4: optional i64 configNumber
  5: optional configuration config
  6: required list<revised_server> servers
  7: required list<revised_evacuation> evacuations
  8: optional configuration_changes configChanges
}

/** The age is in tenths of a second; dataCentre is an index into peer_heartbeat.dataCentres. */
struct known_peer {
  1: required i32 ip
  2: required i8 dataCentre
  3: required i16 age
}

/** What a server has last said about its limit; without perSecond, it no longer names one. Fleet time. */
struct limit_notice {
  1: required string server
  2: optional double perSecond
  3: required i64 saidAt
}

/** A server that ended while it ran a request. Fleet time. */
struct server_crash {
  1: required string server
  2: required i64 startedAt
  3: required i64 endedAt
  /** Several servers ended together, and the request does not explain it. */
  4: optional bool shared
}

/** A request during which servers ended; the digest is 16 bytes. Fleet time. */
struct crash_report {
  1: required binary digest
  2: required list<server_crash> crashes
  3: optional i64 answeredAt
  4: required i64 lastSeenAt
  /** Of the same request without its query, likewise 16 bytes. */
  5: optional binary digestAnyQuery
}

/** Demand of a request class at the sender. */
struct class_demand {
  1: required string serviceName
  2: required i32 priority
  3: required i64 objective
  4: required double perSecond
  5: required i64 work
}

/** Counts of a team's requests; with level, demand and knownFor if they are those of the sender's data centre. */
struct allowance_report {
  1: required i64 team
  2: required i64 admitted
  3: required i64 refused
  4: required i32 newlyAdmitted
  5: required i32 newlyRefused
  6: optional double level
  7: optional double demand
  8: optional i64 knownFor
}

/** The share of a team's requests to admit. */
struct allowance_notice {
  1: required i64 team
  2: required double ratio
  3: required i64 retryAfter
  4: required i64 knownFor
}

/** One datagram. Its peers refer to their data centre by its index in the list dataCentres. */
struct peer_heartbeat {
  1: required string sender
  2: required string dataCentre
  3: required i64 incarnation
  4: required bool leaving
  5: required bool answerWanted
  6: required i32 store
  7: required i64 asOf
  8: required list<known_peer> peers
  9: optional fleet_delta delta
  10: optional bool storeUnsettled
  11: required list<string> dataCentres
  12: optional i64 fleetTime
  13: optional list<limit_notice> limits
  /** Seven bytes for each peer, in network byte order: address, index of its data centre, age in tenths of a second. */
  14: optional binary packedPeers
  15: optional list<crash_report> crashes
  16: optional list<allowance_report> allowanceReports
  17: optional list<allowance_notice> allowanceNotices
  18: optional list<class_demand> classDemand
  /** Fleet time in microseconds at which the sender last knew of everything in the store, up to its asOf. */
  20: optional i64 storeNewsAt
  /** Digests without the query. A list of its own, since older hosts would take them for digests of whole requests. */
  21: optional list<crash_report> crashesAnyQuery
}
