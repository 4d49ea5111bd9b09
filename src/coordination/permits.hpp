#pragma once

#include "coordination/forward_declarations.hpp"
#include "state/identifiers.hpp"
#include "state/peer_message.hpp"
#include "state/server_record.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace acaciaslip::coordination {

/// How long permits may be used after the sending time of the newest message that a peer has echoed.
inline constexpr state::duration permitLease = std::chrono::seconds { 3 };
/// How long an entry host stays in the ranking after its last message was received.
inline constexpr state::duration hostTimeout = std::chrono::seconds { 4 };
/// How long permits stay unused when their holder changes. Requests that the former holder has already decided to
/// send are written within this time.
inline constexpr state::duration handoverDelay = std::chrono::milliseconds { 300 };
/// How long after an ejection has ended a node does not use its permits for the server. Peers may not know yet that the
/// ejection is over, and may still use these permits.
inline constexpr state::duration ejectionReturnDelay = std::chrono::milliseconds { 2500 };

/// A message sequence number that was still unused at a given time.
struct sequence_mark {
    std::uint64_t nextSequence = 0;
    state::time_point at;
};

/// An entry host that may hold permits.
struct ranked_host {
    state::host_id id;
    std::uint64_t hash = 0;
};

/// A node's state for the distribution of permits among the entry hosts.
///
/// A permit allows one request in flight on a cold server. The permits of a server are distributed by rank among the
/// entry hosts that this node ranks. A node may use a permit only while it holds a lease from every host it ranks:
/// - A ranks B while it has received a message from B within `hostTimeout`, or while B was first listed less than
///   `hostTimeout` ago.
/// - B's messages to A echo the newest message of A that B has processed. A lease from B lasts until `permitLease`
///   after A *sent* the echoed message. B ranks A from when it processed that message, which is later, so B ranks A
///   until at least `hostTimeout` after A sent it. This assumes nothing about message delays, only that clocks run at
///   the same rate. It also holds for messages that were buffered while A was paused.
/// - A request sent under a lease has its first byte written within 250 ms (`send_attempt::sendBefore`). Hence A writes
///   nothing under a permit later than `permitLease` + 250 ms, and B does not remove A from the ranking before
///   `hostTimeout`, which is longer. A node that acquires a lease again waits for `handoverDelay`, longer than 250 ms,
///   before using it, since the previous holder of its permits may just have decided to send a request. A host that
///   announces that it is leaving stays in the ranking for another `handoverDelay`.
/// - A node that has just started holds no lease until each listed host has echoed one of its messages or has sent no
///   message for `hostTimeout`. A node holds no lease at all when it receives no messages while other hosts are listed,
///   when other hosts are listed but it is not, or when it is leaving.
///
/// Therefore, of any two nodes that use permits of the same server at the same time, either each ranks the other or
/// neither does. Nodes that rank each other rank among sets that contain them all, so at most L of them hold one of L
/// permits. Nodes that do not rank each other have exchanged no messages in either direction for `hostTimeout`, which
/// means that they are on two sides of a partition. The requests started at a time are therefore at most L for each
/// side that has at least two nodes. Requests that a former holder started before its lease ended may still be in
/// flight: at most as many as it had permits, and at most until their deadlines. While messages from the former holder
/// are received, its in-flight requests are subtracted from the permits of the others.
struct permit_state {
    std::map<state::host_id, state::time_point> listedSince; ///< when each listed entry host was first seen listed
    std::map<state::host_id, state::time_point> receivedAt; ///< last message from each other host that is not leaving
    std::map<state::host_id, state::time_point> acknowledgedAt; ///< sending time of the newest echoed message, by peer
    std::deque<sequence_mark> sequenceMarks; ///< oldest first
    std::optional<state::time_point> startedAt;
    std::vector<ranked_host> rankedHosts; ///< entry hosts in the ranking, without this one
    std::uint64_t ownHash = 0;
    state::time_point leaseExpiresAt; ///< earliest expiry of all leases
    state::time_point usableFrom; ///< earliest use of the current lease
};

/// Maximum number of requests that this node may have in flight on a cold server.
/// \details The server's limit is divided into permits. Permit i belongs to the i-th ranked entry host by rendezvous
/// hash of (server, host), excluding hosts that have ejected the server. Requests that other nodes still have in flight
/// are subtracted.
[[nodiscard]] std::uint32_t coldAllowance(const node& self, const state::server_record& server, state::time_point now);

/// Updates the ranking and the leases. Called on every tick and for each message from a peer.
void refreshPermits(node& self, state::time_point now);

/// Applies the echo in a peer's message, which may extend the lease from that peer.
void applyEcho(node& self, const state::peer_message& message, state::time_point now);

/// Updates the set of listed entry hosts.
void updatePermitHosts(node& self, state::time_point now);

} // namespace acaciaslip::coordination
