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

/// Collapses a server's limit to one request at a time, in a new epoch of this node's own, and tells every peer.
/// \details Every node orders what it hears by (epoch, limit): news of an older epoch is void, so that late or
/// reordered growth can never raise a limit after the collapse. Within one epoch limits only rise, so that a repeated
/// message does no harm and a lost one costs time alone.
/// \param reason for the dump and the log
void collapse(
    node& self, state::server_record& server, std::string_view reason, state::time_point now, effect_list& effects);

/// Collapses a server's limit for a reason that every node reads from the same published settings.
/// \details The new epoch is the same on all nodes that knew the same one, so nothing need be told.
void makeCold(state::server_record& server, std::string_view reason, state::time_point now);

/// Raises a cold server's limit one step, or makes it warm, and tells every peer.
void grow(node& self, state::server_record& server, state::time_point now, effect_list& effects);

/// Takes condition changes that a peer has seen.
void notePeerConditions(node& self, const state::peer_message& message, state::time_point now, effect_list& effects);

/// What this node knows of a server's condition, as a message for its peers.
[[nodiscard]] state::condition_change describeCondition(const state::server_record& server, state::time_point now);

/// The next conditions to repeat to peers, so that a lost message or a restarted peer costs only time.
/// \details Cold servers that have begun to grow and warm ones alike; walks all servers in turn over many calls.
/// \param next the server to go on with; moved on
/// \param most how many conditions fit
[[nodiscard]] std::vector<state::condition_change> conditionsToRepeat(
    const node& self, std::size_t& next, std::size_t most, state::time_point now);

} // namespace acaciaslip::coordination
