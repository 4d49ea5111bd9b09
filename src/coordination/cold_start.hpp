#pragma once

#include "coordination/effects.hpp"
#include "coordination/forward_declarations.hpp"
#include "state/server_record.hpp"
#include "state/time.hpp"

#include <cstdint>

namespace acaciaslip::coordination {

/// How many good answers a holder of a permit must see before a cold server's limit rises one step.
/// \details Two for a server that has not fallen back; twice as many after each setback, and sixteen while its health
/// endpoint says that it is cold. The limit doubles up to the slots (1, 2, 4, warm), so a server that answers well is
/// warm after at most 5 good answers over all nodes with 2 slots, and at most 10 with 4, beside those in flight while
/// the news travels: at each step every holder but one may stop one answer short.
[[nodiscard]] std::uint32_t answersToGrow(const state::server_record& server, state::time_point now) noexcept;

/// Learns from a good answer of a cold server to a request that was sent in the present epoch.
void noteColdAnswer(
    node& self, state::server_record& server, state::time_point startedAt, state::time_point now, effect_list& effects);

/// Collapses a server that sheds, stalls or has become slow, as far as its service can spare it.
/// \details Shed answers, stalls and slow answers are also what plain overload looks like; collapsing a whole service
/// for them would cut its capacity just when it lacks some. So they never make more than half of a service cold.
void noteShedStreak(node& self, state::server_record& server, state::time_point now, effect_list& effects);

/// Collapses a warm server whose health endpoint has begun to say that it is cold, under the same rule: it may lie.
void noteReportedCold(node& self, state::server_record& server, state::time_point now, effect_list& effects);

/// Collapses a warm server whose newest answers take far longer than usual.
void noteLatency(
    node& self, state::server_record& server, state::duration latency, state::time_point now, effect_list& effects);

/// Collapses a warm server that has left a request unanswered for far longer than usual.
void reviewStall(node& self, state::server_record& server, state::time_point now, effect_list& effects);

} // namespace acaciaslip::coordination
