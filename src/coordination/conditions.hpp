#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/peer_message.hpp"
#include "state/server_record.hpp"
#include "state/time.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace acaciaslip::coordination {

/// Resets a server's limit to one request at a time in a new epoch started by this node, and notifies all peers.
/// \details Every node orders condition changes by (epoch, limit). A change of an older epoch is ignored, so a delayed
/// or reordered increase can never raise the limit after the reset. Within one epoch limits only rise, so a duplicate
/// message has no effect and a lost one only causes a delay.
/// \param reason reason shown in the dump and the log
void resetToCold(
    node& self, state::server_record& server, std::string_view reason, state::time_point now, effect_list& effects);

/// Resets a server's limit for a reason that every node derives from the same published settings.
/// \details All nodes that had the same epoch compute the same new one, so no message to the peers is needed.
void resetToColdLocally(state::server_record& server, std::string_view reason, state::time_point now);

/// Raises a cold server's limit by one step, or marks the server warm, and notifies all peers.
void raiseLimit(node& self, state::server_record& server, state::time_point now, effect_list& effects);

/// Applies the condition changes in a peer's message.
void applyPeerConditions(node& self, const state::peer_message& message, state::time_point now, effect_list& effects);

/// Makes a condition change with a server's current condition for the peers.
[[nodiscard]] state::condition_change makeConditionChange(const state::server_record& server, state::time_point now);

/// The next conditions to resend to peers, so that a lost message or a restarted peer only causes a delay.
/// \details Omits servers in the initial state that are not draining. Successive calls iterate over all servers.
/// \param next position of the next server; advanced by the call
/// \param maxCount maximum number of conditions to return
[[nodiscard]] std::vector<state::condition_change> conditionsToResend(
    const node& self, std::size_t& next, std::size_t maxCount, state::time_point now);

} // namespace acaciaslip::coordination
