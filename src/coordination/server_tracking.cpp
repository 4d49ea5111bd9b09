#include "coordination/server_tracking.hpp"

#include "coordination/cold_start.hpp"
#include "coordination/ejection.hpp"
#include "coordination/load_estimate.hpp"
#include "coordination/node.hpp"

namespace acaciaslip::coordination {

namespace {

constexpr int firstServerError = 500;

void recordSuccess(
    node& self, state::server_record& server, state::time_point startedAt, state::time_point now, effect_list& effects)
{
    server.consecutiveFailures = 0;
    server.consecutiveConnectFailures = 0;
    server.consecutiveSheds = 0;
    if (server.condition == state::server_condition::cold)
        recordColdResponse(self, server, startedAt, now, effects);
    if (startedAt >= server.epochSince)
        recordLatency(self, server, now - startedAt, now, effects);
}

void recordResponse(node& self, state::server_record& server, int status, state::time_point startedAt,
    state::time_point now, effect_list& effects)
{
    server.lastResponseAt = now;
    if (status >= firstServerError)
        recordFailure(self, server, /*connectFailed=*/false, now, effects);
    else
        recordSuccess(self, server, startedAt, now, effects);
}

} // namespace

void recordAttemptStarted(node& self, state::server_index index, state::time_point now)
{
    auto& server = self.fleet.servers[index];
    ++server.ownInFlight;
    addInFlight(server.load, now);
}

void recordAttemptFinished(node& self, state::server_index index, const attempt_finished& finished,
    state::time_point startedAt, state::time_point now, effect_list& effects)
{
    auto& server = self.fleet.servers[index];
    --server.ownInFlight;
    removeInFlight(server.load, startedAt);
    ++self.counters.attemptsByOutcome[finished.outcome];
    switch (finished.outcome) {
    case state::attempt_outcome::answered:
        return recordResponse(self, server, finished.status, startedAt, now, effects);
    case state::attempt_outcome::shed:
        return recordShedResponse(self, server, now, effects);
    case state::attempt_outcome::connect_failed:
        return recordFailure(self, server, /*connectFailed=*/true, now, effects);
    case state::attempt_outcome::cut:
    case state::attempt_outcome::mismatched:
    case state::attempt_outcome::timed_out:
        return recordFailure(self, server, /*connectFailed=*/false, now, effects);
    case state::attempt_outcome::no_connection:
    case state::attempt_outcome::expired:
    case state::attempt_outcome::cancelled:
        return; // these outcomes give no information about the server
    }
}

} // namespace acaciaslip::coordination
