#include "coordination/gateway/server_load.hpp"

#include <utility>

#include <fmt/format.h>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::limit_report;
using state::gateway::limit_statement;

constexpr int statusMisdirected = 421; ///< the response comes from another server
constexpr int firstServerError = 500;

void logLimit(const gateway_node& self, const state::host_id& server, std::string perSecond, std::string_view from,
    effect_list& effects)
{
    effects.emplace_back(log_event { log_level::info, "server_limit",
        { { "server", server }, { "per_second", std::move(perSecond) }, { "from", std::string(from) },
            { "hosts", std::to_string(self.share.hosts) } } });
}

void recordNamedLimit(gateway_node& self, const state::host_id& server, const limit_report& limit,
    std::string_view from, effect_list& effects)
{
    auto* const known = findServer(self, server);
    if (known == nullptr || limit.statement == limit_statement::none)
        return;
    if (limit.statement == limit_statement::unreadable)
        return logLimit(self, server, "unreadable", from, effects);
    if (known->limitPerSecond == limit.perSecond)
        return;
    known->limitPerSecond = limit.perSecond;
    logLimit(self, server, fmt::format("{}", limit.perSecond), from, effects);
}

} // namespace

void recordLoadReport(
    gateway_node& self, const state::host_id& server, state::gateway::load_report report, state::time_point now)
{
    auto* const known = findServer(self, server);
    if (known == nullptr)
        return;
    report.receivedAt = now;
    known->report = report;
    known->sentSinceReport = 0;
}

void recordAnswerLimit(
    gateway_node& self, const state::host_id& server, const attempt_finished& finished, effect_list& effects)
{
    const bool answered = finished.outcome == state::attempt_outcome::answered;
    const bool shed = finished.outcome == state::attempt_outcome::shed && finished.status != statusMisdirected;
    if (answered || shed)
        recordNamedLimit(self, server, finished.limit, "answer", effects);
    auto* const known = findServer(self, server);
    const bool ends
        = answered && finished.status < firstServerError && finished.limit.statement == limit_statement::none;
    if (known == nullptr || !ends || !known->limitPerSecond)
        return;
    known->limitPerSecond.reset();
    logLimit(self, server, "none", "answer", effects);
}

void recordProbeLimit(gateway_node& self, const state::host_id& server, const limit_report& limit, effect_list& effects)
{
    recordNamedLimit(self, server, limit, "probe", effects);
}

void recordSend(gateway_node& self, const state::host_id& server, state::time_point now)
{
    auto* const known = findServer(self, server);
    if (known == nullptr)
        return;
    ++known->ownInFlight;
    ++known->sentSinceReport;
    if (now < known->coldUntil)
        known->lastColdSendAt = now;
    known->lastSendAt = now;
}

void recordSendFinished(gateway_node& self, const state::host_id& server)
{
    auto* const known = findServer(self, server);
    if (known != nullptr && known->ownInFlight > 0)
        --known->ownInFlight;
}

state::gateway::server_state* findServer(gateway_node& self, const state::host_id& id)
{
    const auto found = self.servers.find(id);
    return found == self.servers.end() ? nullptr : &found->second;
}

} // namespace acaciaslip::coordination::gateway
