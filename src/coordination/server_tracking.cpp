#include "coordination/server_tracking.hpp"

#include "coordination/load_estimate.hpp"
#include "coordination/node.hpp"

namespace acaciaslip::coordination {

namespace {

constexpr std::uint32_t goodAnswersToWarm = 8;
constexpr std::uint32_t badAnswersToCollapse = 3;

void learnGood(state::server_record& server, state::time_point now)
{
    server.badAnswers = 0;
    server.lastAnswerAt = now;
    if (server.condition == state::server_condition::warm)
        return;
    if (++server.goodAnswers >= goodAnswersToWarm) {
        server.condition = state::server_condition::warm;
        server.conditionReason = "good_answers";
        server.conditionSince = now;
    }
}

void learnBad(state::server_record& server, state::time_point now)
{
    server.goodAnswers = 0;
    if (++server.badAnswers >= badAnswersToCollapse && server.condition == state::server_condition::warm)
        makeCold(server, "failing", now);
}

} // namespace

void makeCold(state::server_record& server, std::string_view reason, state::time_point now)
{
    server.condition = state::server_condition::cold;
    server.conditionReason = reason;
    server.conditionSince = now;
    server.limit = 1;
    server.goodAnswers = 0;
}

void noteAttemptStarted(node& self, state::server_index index, state::time_point now)
{
    auto& server = self.fleet.servers[index];
    ++server.ownInFlight;
    addRunning(server.load, now);
}

void noteAttemptFinished(node& self, state::server_index index, const attempt_finished& finished,
    state::time_point startedAt, state::time_point now, effect_list& /*effects*/)
{
    auto& server = self.fleet.servers[index];
    --server.ownInFlight;
    removeRunning(server.load, startedAt);
    ++self.counters.attemptsByOutcome[finished.outcome];
    if (finished.outcome == state::attempt_outcome::answered) {
        learnLatency(server.load, now - startedAt, now);
        learnGood(server, now);
    } else if (finished.outcome != state::attempt_outcome::cancelled
        && finished.outcome != state::attempt_outcome::no_connection) {
        learnBad(server, now);
    }
}

void noteProbeFinished(node& self, const probe_finished& finished, state::time_point now, effect_list& /*effects*/)
{
    const auto found = self.fleet.serverIndexes.find(finished.server);
    if (found == self.fleet.serverIndexes.end())
        return;
    auto& server = self.fleet.servers[found->second];
    server.probing = false;
    if (!finished.answered)
        return;
    auto& report = server.report.has_value() ? *server.report : server.report.emplace();
    report.heardAt = now;
    if (finished.health) {
        report.draining = *finished.health == reported_health::draining;
        report.cold = *finished.health == reported_health::cold;
    }
    if (finished.load) {
        report.inFlight = finished.load->inFlight;
        report.queued = finished.load->queued;
        if (!report.boot.empty() && report.boot != finished.load->boot)
            makeCold(server, "restarted", now);
        report.boot = finished.load->boot;
    }
}

void notePeerConditions(node& self, const state::peer_message& message, state::time_point now, effect_list& /*effects*/)
{
    for (const auto& change : message.conditions) {
        const auto found = self.fleet.serverIndexes.find(change.server);
        if (found == self.fleet.serverIndexes.end())
            continue;
        auto& server = self.fleet.servers[found->second];
        if (change.condition == state::server_condition::cold && server.condition == state::server_condition::warm)
            makeCold(server, "peer_saw_cold", now);
    }
}

} // namespace acaciaslip::coordination
