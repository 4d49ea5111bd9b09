#pragma once

#include "coordination/forward_declarations.hpp"
#include "state/load_state.hpp"
#include "state/peer_message.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Counts a request that is about to be sent to a server.
void addRunning(state::load_state& load, state::time_point startedAt);

/// Counts a request out again.
/// \param startedAt as given to `addRunning`
void removeRunning(state::load_state& load, state::time_point startedAt);

/// Learns from a whole answer how long the server takes, network and queue included.
void learnLatency(state::load_state& load, state::duration latency, state::time_point now);

/// Takes what a peer says it has in flight; a peer that is gone says zero.
void learnPeerLoad(state::load_state& load, const state::host_id& peer, std::uint32_t inFlight, state::time_point now);

/// Forgets a peer: it has left, was replaced, or has been silent for too long.
void forgetPeerLoad(state::load_state& load, const state::host_id& peer);

/// How many requests a server has from all nodes, as far as this node can tell.
/// \details Own requests count exactly. Peers count by their moving average: within milliseconds the last count heard
/// is wrong more often than the average, and acting on it makes nodes herd.
[[nodiscard]] double estimateInFlight(const state::load_state& load) noexcept;

/// How long a request to the server is likely to take when it finds a free slot.
/// \details Falls back towards `usual` while no answer comes, so that a server that was slow is tried again; never less
/// than the age of the oldest request without an answer, so that a stall shows before any answer does.
/// \param usual latency of the service's servers
[[nodiscard]] state::duration expectLatency(
    const state::load_state& load, state::duration usual, state::time_point now) noexcept;

/// Takes a peer's counts for every server that its message names.
void notePeerLoads(node& self, const state::peer_message& message, state::time_point now);

} // namespace acaciaslip::coordination
