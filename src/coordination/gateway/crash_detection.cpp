#include "coordination/gateway/crash_detection.hpp"

#include "coordination/gateway/lethal_requests.hpp"
#include "coordination/gateway/probing.hpp"
#include "coordination/gateway/request_log.hpp"
#include "coordination/gateway/server_load.hpp"

#include <fmt/format.h>

namespace acaciaslip::coordination::gateway {

namespace {

constexpr std::size_t maxRunsPerCheck = 64; ///< more than a server runs for one host
constexpr std::uint32_t maxProbesPerCheck = 3; ///< while a probe has no answer

void probeForCrash(gateway_node& self, const state::host_id& id, crash_check& check, effect_list& effects)
{
    const auto* server = findServer(self, id);
    auto probe = server != nullptr && self.config ? makeProbe(self, *server, *self.config) : std::nullopt;
    if (!probe)
        return;
    check.probe = probe->id;
    ++check.probes;
    effects.emplace_back(std::move(*probe));
}

} // namespace

void checkForCrash(gateway_node& self, const state::gateway::pending_request& request,
    const state::gateway::in_flight_attempt& attempt, state::time_point now, effect_list& effects)
{
    auto& check = self.crashChecks[attempt.server];
    if (check.runs.size() < maxRunsPerCheck)
        check.runs.push_back({ request.digests, request.callerRequestId, attempt.startedAt, now });
    if (check.probes == 0)
        probeForCrash(self, attempt.server, check, effects);
    if (check.probes == 0)
        self.crashChecks.erase(attempt.server);
}

bool finishCrashCheck(gateway_node& self, const probe_finished& finished, state::time_point now, effect_list& effects)
{
    const auto found = self.crashChecks.find(finished.server);
    if (found == self.crashChecks.end() || found->second.probe != finished.id)
        return false;
    if (finished.outcome == probe_outcome::no_answer && found->second.probes < maxProbesPerCheck) {
        probeForCrash(self, finished.server, found->second, effects);
        return true;
    }
    const auto check = std::move(found->second);
    self.crashChecks.erase(found);
    if (finished.outcome != probe_outcome::refused && finished.outcome != probe_outcome::other_server)
        return true;
    ++self.counters.serverCrashes;
    for (const auto& run : check.runs) {
        recordCrash(self, finished.server, run, now, effects);
        effects.emplace_back(log_event { log_level::info, "server_crash",
            { { "id", run.callerRequestId }, { "server", finished.server },
                { "digest", describeDigest(run.request.exact) }, { "any_query", describeDigest(run.request.anyQuery) },
                { "ran_ms", fmt::format("{:.1f}", state::toMilliseconds(run.endedAt - run.startedAt)) },
                { "checked_ms", fmt::format("{:.1f}", state::toMilliseconds(now - run.endedAt)) } } });
    }
    return true;
}

} // namespace acaciaslip::coordination::gateway
