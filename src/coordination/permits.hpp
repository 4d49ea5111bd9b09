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

/// How long after one of our messages was sent a peer's echo of it still lets us use permits.
inline constexpr state::duration permitLease = std::chrono::seconds { 3 };
/// How long after it was last heard an entry host still counts in the ranking.
inline constexpr state::duration absentAfter = std::chrono::seconds { 4 };
/// How long a change of holder leaves permits unused, so that what the former holder decided has been written.
inline constexpr state::duration handoverGap = std::chrono::milliseconds { 300 };
/// How long after an ejection a node leaves its permits to others, since peers may not know yet that it is back.
inline constexpr state::duration returnGap = std::chrono::milliseconds { 2500 };

/// A message sequence that was not yet used at a time.
struct send_mark {
    std::uint64_t nextSequence = 0;
    state::time_point at;
};

/// An entry host that may hold permits.
struct permit_host {
    state::host_id id;
    std::uint64_t hash = 0;
};

/// What a node knows of who may hold permits.
///
/// Permits of cold servers are cut by rank among the entry hosts that this node counts. No node may use a permit
/// unless it holds a lease from every host it counts:
/// - A counts B while it has heard B within `absentAfter`, or has begun to list B within `absentAfter`.
/// - B's messages to A echo the newest message of A that B has taken. A lease from B runs until `permitLease` after A
///   *sent* the echoed message. B has counted A from when it took that message, which is later, so B counts A until
///   at least `absentAfter` after A sent it. No assumption on the delay of messages is made, only that clocks run at
///   the same pace; it holds too for messages that lay in a buffer while A was paused.
/// - A send decided under a lease writes its first byte within 250 ms (`send_attempt::actBefore`). Hence A writes
///   nothing on a permit from `permitLease` + 250 ms on, and B does not leave A out of the ranking before
///   `absentAfter`, which is larger. A node whose lease begins anew waits `handoverGap`, longer than 250 ms, before it
///   uses it, since whoever held the permits until it was heard may just have decided a send; and a host that says that
///   it leaves counts for `handoverGap` more.
/// - A node that has just started holds no lease until each listed host has echoed it or stayed silent for
///   `absentAfter`. One that hears nobody while others are listed, or is not listed itself while others are, or leaves,
///   holds none at all.
///
/// So of any two nodes that start work on permits of one server at one time, each counts the other or neither counts
/// the other. Nodes that count each other rank among sets that contain them all, so at most L of them hold one of L
/// permits. Nodes that do not count each other have been out of touch both ways for `absentAfter`: two sides of a
/// partition. The starts admitted at a time are therefore at most L for each side that has at least two nodes.
/// Requests that a former holder began before its lease ended may still run: at most the permits it had, until they
/// end by their deadlines. While the former holder is heard its count is taken off the permits of the others.
struct permit_state {
    std::map<state::host_id, state::time_point> listedSince; ///< when each listed entry host was first seen listed
    std::map<state::host_id, state::time_point> heardAt; ///< other entry hosts that do not leave, listed still or not
    std::map<state::host_id, state::time_point> confirmedAt; ///< when we sent the newest message that a peer echoed
    std::deque<send_mark> marks; ///< oldest first
    std::optional<state::time_point> listeningSince;
    std::vector<permit_host> counted; ///< the entry hosts that rank, ours excluded
    std::uint64_t ownHash = 0;
    state::time_point leaseUntil; ///< the earliest end of all leases
    state::time_point usableFrom; ///< the lease held now may be used from here on
};

/// How many requests this node may have in flight on a cold server.
/// \details The server's limit is cut into permits; permit i belongs to the i-th counted entry host by rendezvous hash
/// of (server, host), those that have ejected the server left out. What other nodes still have in flight comes off.
[[nodiscard]] std::uint32_t coldAllowance(const node& self, const state::server_record& server, state::time_point now);

/// Brings the ranking and the leases up to date; called on every tick and when a peer is heard.
void refreshPermits(node& self, state::time_point now);

/// Takes the echo in a peer's message.
void noteEcho(node& self, const state::peer_message& message, state::time_point now);

/// Notes which entry hosts are listed.
void notePermitHosts(node& self, state::time_point now);

} // namespace acaciaslip::coordination
