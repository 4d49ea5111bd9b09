#pragma once

#include "coordination/forward_declarations.hpp"
#include "state/load_state.hpp"
#include "state/peer_message.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Adds a request that is about to be sent to a server's in-flight requests.
void addInFlight(state::load_state& load, state::time_point startedAt);

/// Removes a request from a server's in-flight requests.
/// \param startedAt as given to `addInFlight`
void removeInFlight(state::load_state& load, state::time_point startedAt);

/// Updates the moving average of a server's latency with a complete response, including network and queueing time.
void updateLatencyAverage(state::load_state& load, state::duration latency, state::time_point now);

/// Updates the number of requests that a peer has in flight on a server.
void updatePeerLoad(state::load_state& load, const state::host_id& peer, std::uint32_t inFlight, state::time_point now);

/// Removes a peer that has left, was replaced or has sent no message for too long.
void removePeerLoad(state::load_state& load, const state::host_id& peer);

/// Estimates the number of requests that all nodes have in flight on a server.
/// \details The node's own requests are counted exactly. Peers are counted by their moving average. The last reported
/// count is wrong more often than the average after only a few milliseconds, and acting on it makes all nodes choose
/// the same server at once.
[[nodiscard]] double estimateInFlight(const state::load_state& load) noexcept;

/// Estimates the duration of a request to a server with a free slot.
/// \details The estimate decays towards `serviceLatency` while there are no responses, so that a server that was slow
/// is tried again. It is at least the age of the oldest in-flight request, so that a stall has an effect before any
/// response arrives.
/// \param serviceLatency mean latency of the service's servers
[[nodiscard]] state::duration estimateLatency(
    const state::load_state& load, state::duration serviceLatency, state::time_point now) noexcept;

/// Updates the peer's in-flight counts for every server in its message.
void applyPeerLoads(node& self, const state::peer_message& message, state::time_point now);

} // namespace acaciaslip::coordination
