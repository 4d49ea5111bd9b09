#include "coordination/gateway/allowance_keeping.hpp"

#include "coordination/gateway/team_admission.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::allowance_report;
using state::gateway::maxReportedAmount;
using state::gateway::peer_ip;
using state::gateway::team_digest;

constexpr state::duration nearInterval = std::chrono::milliseconds { 200 }; ///< while a team is near its limit
/// Otherwise; two reports arrive before a data centre counts as silent.
constexpr state::duration farInterval = std::chrono::milliseconds { 500 };
constexpr int missedReports = 5; ///< in halves of the interval, after which the other keeper takes over
constexpr state::duration sameStart = std::chrono::milliseconds { 200 }; ///< as in allowance_exchange.cpp
constexpr std::uint32_t stepsToEnd
    = 5; ///< renewals with ratio 1, so that hosts learn of the end although some are lost
/// A host that has run for this time would have heard of the team's keepers, as in the learning period of membership.
constexpr state::duration learningTime = std::chrono::seconds { 10 };

kept_team& findKept(gateway_node& self, team_digest team, state::time_point now)
{
    const auto found = self.allowances.kept.find(team);
    if (found != self.allowances.kept.end())
        return found->second;
    const auto& known = self.allowances.teams.at(team);
    const auto& limits = self.settings.limits;
    // Nobody has reported the team's requests here before. After a while without a restart or a change of the team,
    // this means that there were none.
    const bool isIdle = now - self.membership.startedAt >= learningTime + limits.quotaWindow
        && now - known.knownSince >= limits.configApply + limits.quotaWindow;
    kept_team made;
    made.allowance = makeAllowance(makeTerms(*known.team, limits), isIdle, now);
    return self.allowances.kept.emplace(team, std::move(made)).first->second;
}

} // namespace

void updateTeams(gateway_node& self, state::time_point now)
{
    auto& allowances = self.allowances;
    if (allowances.config == self.config)
        return;
    allowances.config = self.config;
    auto before = std::exchange(allowances.teams, {});
    for (const auto& team : self.config->teams) {
        if (team.ratePerSecond <= 0)
            continue;
        const auto digest = digestOf(team);
        const auto known = before.find(digest);
        allowances.teams[digest] = { &team, known == before.end() ? now : known->second.knownSince };
    }
    const auto isGone = [&](const auto& entry) { return !allowances.teams.contains(entry.first); };
    std::erase_if(allowances.uses, isGone);
    std::erase_if(allowances.kept, isGone);
    for (auto& [team, kept] : allowances.kept)
        changeTerms(kept.allowance, makeTerms(*allowances.teams.at(team).team, self.settings.limits), now);
}

void recordHostReport(gateway_node& self, const peer_ip& sender, std::int64_t incarnation,
    const allowance_report& report, bool isRecent, state::time_point now)
{
    auto& kept = findKept(self, report.team, now);
    const auto [found, isNew] = kept.hosts.try_emplace(sender);
    auto& counts = found->second;
    // Totals make up for lost reports. Without an earlier total, only what is new is known to be recent.
    const bool isContinued = !isNew && counts.incarnation == incarnation && report.admitted >= counts.admitted
        && report.refused >= counts.refused;
    recordUse(kept.allowance, isContinued ? report.admitted - counts.admitted : report.newlyAdmitted,
        isContinued ? report.refused - counts.refused : report.newlyRefused, isRecent, now);
    counts = { incarnation, report.admitted, report.refused, now };
}

void recordOtherKeeperReport(
    gateway_node& self, const peer_ip& sender, const allowance_report& report, state::time_point now)
{
    auto& kept = findKept(self, report.team, now);
    kept.otherKeeper = { sender, now - report.keeper->knownFor, now };
    kept.reportedAdmitted = kept.allowance.admitted;
    kept.reportedRefused = kept.allowance.refused;
    adoptLevel(kept.allowance, *report.keeper, now);
}

void recordRemoteReport(gateway_node& self, const state::data_centre_id& dataCentre, const peer_ip& sender,
    std::int64_t incarnation, const allowance_report& report, state::time_point now)
{
    auto& kept = findKept(self, report.team, now);
    recordRemoteUse(kept.allowance, dataCentre, sender, incarnation, report, now);
    adoptLevel(kept.allowance, *report.keeper, now);
}

allowance_report makeKeeperReport(kept_team& kept, team_digest team, state::time_point now)
{
    const auto& allowance = kept.allowance;
    allowance_report report;
    report.team = team;
    report.admitted = allowance.admitted;
    report.refused = allowance.refused;
    report.newlyAdmitted = static_cast<std::uint32_t>(allowance.admitted - kept.reportedAdmitted);
    report.newlyRefused = static_cast<std::uint32_t>(allowance.refused - kept.reportedRefused);
    report.keeper = { std::clamp(allowance.level, -maxReportedAmount, maxReportedAmount),
        std::min(currentDemand(allowance, now), maxReportedAmount), now - allowance.startedAt };
    kept.reportedAdmitted = allowance.admitted;
    kept.reportedRefused = allowance.refused;
    return report;
}

void updateLimit(
    const gateway_node& self, kept_team& kept, team_digest team, state::time_point now, effect_list& effects)
{
    const bool isBelow = kept.allowance.ratio < 1;
    kept.stepsWithoutLimit = isBelow ? 0 : kept.stepsWithoutLimit + 1;
    const bool limited = isBelow || (kept.limited && kept.stepsWithoutLimit <= stepsToEnd);
    if (limited == std::exchange(kept.limited, limited) || !isActing(self, kept, now))
        return;
    const auto& name = self.allowances.teams.at(team).team->name;
    effects.emplace_back(log_event { log_level::info, limited ? "team_limit_begins" : "team_limit_ends",
        { { "team", name }, { "ratio", fmt::format("{:.3f}", kept.allowance.ratio) },
            { "level", fmt::format("{:.1f}", kept.allowance.level) } } });
}

bool isActing(const gateway_node& self, const kept_team& kept, state::time_point now)
{
    const auto& own = kept.keepers.own;
    const auto& mate = kept.otherKeeper;
    // The rank decides between keepers that have known the team for the same time.
    const bool isFirst = !own.empty() && own.front() == self.settings.ip;
    bool mateFirst = !isFirst;
    if (mate && std::find(own.begin(), own.end(), mate->ip) != own.end()) {
        const auto difference = mate->knownSince - kept.allowance.startedAt;
        if (std::chrono::abs(difference) > sameStart)
            mateFirst = difference < state::duration::zero();
    }
    if (!mateFirst)
        return true;
    const auto since = std::max(mate ? mate->heardAt : kept.allowance.startedAt, kept.allowance.activeSince);
    return now - since > reportInterval(kept, now) * missedReports / 2;
}

state::duration reportInterval(const kept_team& kept, state::time_point now) noexcept
{
    return isNearLimit(kept.allowance, now) ? nearInterval : farInterval;
}

} // namespace acaciaslip::coordination::gateway
