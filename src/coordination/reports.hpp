#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/peer_message.hpp"
#include "state/server_record.hpp"
#include "state/time.hpp"

namespace acaciaslip::coordination {

/// Learns from a probe: a new boot id, drain and cold states. Endpoints lag and may mislead.
void noteProbeFinished(node& self, const probe_finished& finished, state::time_point now, effect_list& effects);

/// Takes what a peer has just read from a server's health endpoint.
void noteToldHealth(const node& self, state::server_record& server, state::told_health health, state::time_point now);

/// What this node itself has lately read from a server's health endpoint.
[[nodiscard]] state::told_health describeHealth(const state::server_record& server, state::time_point now) noexcept;

/// Forgets that a server drains when nobody has confirmed it for long.
void reviewReport(state::server_record& server, state::time_point now) noexcept;

} // namespace acaciaslip::coordination
