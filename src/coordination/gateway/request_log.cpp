#include "coordination/gateway/request_log.hpp"

#include "coordination/gateway/request_classes.hpp"

#include <fmt/format.h>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::pending_request;

std::string milliseconds(state::duration span)
{
    return fmt::format("{:.1f}", state::toMilliseconds(span));
}

/// Formats a load report: requests in flight, queued requests and slots, the slowdown, and the report's age.
std::string describeReport(const state::gateway::load_report& report, state::time_point now)
{
    return fmt::format("{}/{}/{}x{:.1f}@{}ms", report.inFlight, report.queued, report.slots, report.slowdown,
        milliseconds(now - report.receivedAt));
}

std::string text(std::string_view name)
{
    return std::string(name);
}

} // namespace

std::string describeDigest(const state::gateway::request_digest& digest)
{
    return fmt::format("{:016x}{:016x}", digest.high, digest.low);
}

log_event describeSend(const gateway_node& self, const pending_request& request, const state::host_id& server,
    const completion_estimate& estimate, state::gateway::send_reason reason, state::time_point now)
{
    const auto known = self.servers.find(server);
    const bool reported = known != self.servers.end() && known->second.report;
    return { log_level::info, "send",
        { { "id", request.callerRequestId }, { "server", server },
            { "why", text(state::findName(state::gateway::sendReasonNames, reason)) }, { "service", request.service },
            { "expected_ms", milliseconds(estimate.time) },
            { "load", reported ? describeReport(*known->second.report, now) : "unknown" },
            { "config", std::to_string(request.config->version) },
            { "revision", std::to_string(self.published.asOf) } } };
}

log_event describeAttempt(const pending_request& request, const state::gateway::in_flight_attempt& attempt,
    const attempt_finished& finished, state::time_point now)
{
    return { log_level::info, "attempt",
        { { "id", request.callerRequestId }, { "server", attempt.server },
            { "outcome", text(state::findName(state::attemptOutcomeNames, finished.outcome)) },
            { "status", std::to_string(finished.status) }, { "ms", milliseconds(now - attempt.startedAt) } } };
}

log_event describeProbePause(
    const pending_request& request, std::string_view why, state::duration best, state::time_point now)
{
    const auto probed = request.round ? request.round->probed.size() : 0;
    const auto answered = request.round ? request.round->answered.size() : 0;
    return { log_level::info, "wait",
        { { "id", request.callerRequestId }, { "why", text(why) }, { "asked", std::to_string(probed) },
            { "answered", std::to_string(answered) }, { "best_ms", milliseconds(best) },
            { "ms", milliseconds(now - request.arrivedAt) } } };
}

log_event describeServiceTimeTrial(const gateway_node& self, const pending_request& request,
    const state::gateway::service_time_trials& trials, state::time_point now)
{
    return { log_level::info, "service_time_trial",
        { { "id", request.callerRequestId }, { "service", request.service },
            { "service_time_ms", milliseconds(typicalServiceTime(self, request)) },
            { "ms_left", milliseconds(request.deadline - now) },
            { "in_flight", std::to_string(trials.inFlight.size()) }, { "limit", std::to_string(trials.limit) } } };
}

log_event describeRetryDenied(const gateway_node& self, const pending_request& request)
{
    return { log_level::info, "repeat_denied",
        { { "id", request.callerRequestId }, { "service", request.service }, { "sends", std::to_string(request.sends) },
            { "hosts", std::to_string(self.share.hosts) },
            { "last", text(state::findName(state::attemptOutcomeNames, request.lastOutcome)) } } };
}

void appendClass(const gateway_node& self, const pending_request& request, log_event& line)
{
    const auto* const known = findClass(self, request);
    if (known == nullptr)
        return;
    line.fields.emplace_back("class",
        fmt::format("{}/{}/{:.0f}", request.service, known->priority, state::toMilliseconds(known->objective)));
    line.fields.emplace_back("priority", std::to_string(request.priority));
    line.fields.emplace_back("reserve", fmt::format("{:.2f}", request.reserve));
    if (request.heldBack)
        line.fields.emplace_back("held_back", "true");
}

log_event describeEnd(const pending_request& request, std::string_view outcome, state::time_point now)
{
    return { log_level::info, "request",
        { { "id", request.callerRequestId }, { "route", request.matched->name }, { "outcome", text(outcome) },
            { "ms", milliseconds(now - request.arrivedAt) },
            { "caller_ms", milliseconds(request.callerDeadline - request.arrivedAt) },
            { "sends", std::to_string(request.sends) }, { "rounds", std::to_string(request.rounds) },
            { "verdict",
                text(state::findName(state::verdictNames,
                    request.mayHaveRun || !request.attemptsInFlight.empty() ? state::verdict::may_have_run
                                                                            : state::verdict::not_run)) } } };
}

} // namespace acaciaslip::coordination::gateway
