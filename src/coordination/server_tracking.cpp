#include "coordination/server_tracking.hpp"

#include "coordination/cold_start.hpp"
#include "coordination/ejection.hpp"
#include "coordination/load_estimate.hpp"
#include "coordination/node.hpp"

namespace acaciaslip::coordination {

namespace {

constexpr int firstServerError = 500;

void noteGoodAnswer(
    node& self, state::server_record& server, state::time_point startedAt, state::time_point now, effect_list& effects)
{
    server.badAnswers = 0;
    server.connectFailures = 0;
    server.shedAnswers = 0;
    if (server.condition == state::server_condition::cold)
        noteColdAnswer(self, server, startedAt, now, effects);
    if (startedAt >= server.epochSince)
        noteLatency(self, server, now - startedAt, now, effects);
}

void noteAnswer(node& self, state::server_record& server, int status, state::time_point startedAt,
    state::time_point now, effect_list& effects)
{
    server.lastAnswerAt = now;
    if (status >= firstServerError)
        noteFailure(self, server, /*connectFailed=*/false, now, effects);
    else
        noteGoodAnswer(self, server, startedAt, now, effects);
}

} // namespace

void noteAttemptStarted(node& self, state::server_index index, state::time_point now)
{
    auto& server = self.fleet.servers[index];
    ++server.ownInFlight;
    addRunning(server.load, now);
}

void noteAttemptFinished(node& self, state::server_index index, const attempt_finished& finished,
    state::time_point startedAt, state::time_point now, effect_list& effects)
{
    auto& server = self.fleet.servers[index];
    --server.ownInFlight;
    removeRunning(server.load, startedAt);
    ++self.counters.attemptsByOutcome[finished.outcome];
    switch (finished.outcome) {
    case state::attempt_outcome::answered:
        return noteAnswer(self, server, finished.status, startedAt, now, effects);
    case state::attempt_outcome::shed:
        return noteShedStreak(self, server, now, effects);
    case state::attempt_outcome::connect_failed:
        return noteFailure(self, server, /*connectFailed=*/true, now, effects);
    case state::attempt_outcome::cut:
    case state::attempt_outcome::mismatched:
    case state::attempt_outcome::timed_out:
        return noteFailure(self, server, /*connectFailed=*/false, now, effects);
    case state::attempt_outcome::no_connection:
    case state::attempt_outcome::expired:
    case state::attempt_outcome::cancelled:
        return; // says nothing of the server
    }
}

} // namespace acaciaslip::coordination
