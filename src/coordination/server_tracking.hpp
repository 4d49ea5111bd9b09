#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/peer_message.hpp"
#include "state/server_record.hpp"
#include "state/time.hpp"

#include <string_view>

namespace acaciaslip::coordination {

/// Collapses a server's limit to one request at a time over all nodes.
/// \param reason for the dump and the log
void makeCold(state::server_record& server, std::string_view reason, state::time_point now);

/// Counts an attempt that is about to be sent.
void noteAttemptStarted(node& self, state::server_index index, state::time_point now);

/// Learns from an attempt's outcome: in-flight count, latency, warmth, ejection.
/// \param startedAt when the attempt was sent
void noteAttemptFinished(node& self, state::server_index index, const attempt_finished& finished,
    state::time_point startedAt, state::time_point now, effect_list& effects);

/// Learns from a probe.
void noteProbeFinished(node& self, const probe_finished& finished, state::time_point now, effect_list& effects);

/// Takes condition changes that a peer has seen.
void notePeerConditions(node& self, const state::peer_message& message, state::time_point now, effect_list& effects);

} // namespace acaciaslip::coordination
