#include "coordination/gateway/allowance_exchange.hpp"

#include "coordination/gateway/allowance_keeping.hpp"
#include "coordination/gateway/fleet_clock.hpp"
#include "coordination/gateway/keepers.hpp"
#include "coordination/gateway/membership.hpp"
#include "coordination/gateway/team_admission.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::allowance_notice;
using state::gateway::allowance_report;
using state::gateway::peer_ip;
using state::gateway::team_digest;

constexpr state::duration keeperInterval = std::chrono::milliseconds { 100 }; ///< between renewals of a limit
constexpr state::duration choiceInterval = std::chrono::seconds { 1 }; ///< choosing keepers ranks all hosts
/// A notice of a keeper that has known the team for less time replaces one that was not renewed for this time.
constexpr state::duration keeperHold = std::chrono::milliseconds { 300 };
/// Two keepers that begin at the same time hear of the team within this time of each other.
constexpr state::duration sameStart = std::chrono::milliseconds { 200 };

/// Messages that are due, by receiver.
struct outgoing {
    std::map<peer_ip, std::vector<allowance_report>> reports;
    std::vector<allowance_notice> notices; ///< to all hosts of the data centre
};

const chosen_keepers& refreshKeepers(
    const gateway_node& self, chosen_keepers& keepers, team_digest team, state::time_point now)
{
    if (keepers.chosenAt && now - *keepers.chosenAt < choiceInterval)
        return keepers;
    keepers.others = chooseKeepers(self, team);
    keepers.own = std::move(keepers.others[self.settings.dataCentre]);
    keepers.others.erase(self.settings.dataCentre);
    keepers.chosenAt = now;
    return keepers;
}

void adoptNotice(gateway_node& self, const peer_ip& sender, const allowance_notice& notice, state::duration age,
    state::time_point now)
{
    auto& current = self.allowances.uses[notice.team].notice;
    const auto knownSince = now - age - notice.knownFor;
    const bool replaces = !current || current->keeper == sender || now - current->renewedAt >= keeperHold
        || knownSince < current->knownSince - sameStart;
    if (replaces)
        current = { notice.ratio, notice.retryAfter, sender, knownSince, now - age };
}

/// Sends a message in as few datagrams as possible.
template <typename Entry, typename Member>
void sendInParts(gateway_node& self, const peer_ip& ip, const std::vector<Entry>& entries, std::size_t most,
    Member member, state::time_point now, effect_list& effects)
{
    for (std::size_t first = 0; first < entries.size(); first += most) {
        auto message = makeShortHeartbeat(self, now);
        const auto last = std::min(first + most, entries.size());
        (message.*member)
            .assign(entries.begin() + static_cast<std::ptrdiff_t>(first),
                entries.begin() + static_cast<std::ptrdiff_t>(last));
        ++self.allowances.messages;
        effects.emplace_back(send_peer_message { ip, std::move(message) });
    }
}

void sendAll(gateway_node& self, const outgoing& due, state::time_point now, effect_list& effects)
{
    using state::gateway::peer_heartbeat;
    for (const auto& [ip, reports] : due.reports)
        sendInParts(
            self, ip, reports, state::gateway::maxReportsPerDatagram, &peer_heartbeat::allowanceReports, now, effects);
    if (due.notices.empty())
        return;
    for (const auto& notice : due.notices)
        adoptNotice(self, self.settings.ip, notice, {}, now);
    for (const auto& [ip, peer] : self.peers) {
        if (peer.dataCentre == self.settings.dataCentre)
            sendInParts(self, ip, due.notices, state::gateway::maxNoticesPerDatagram, &peer_heartbeat::allowanceNotices,
                now, effects);
    }
}

void startKeeping(gateway_node& self, state::time_point now)
{
    if (!self.allowances.keepAt)
        self.allowances.keepAt = now + keeperInterval;
}

/// Reports what this host has decided to the keepers in its data centre.
void reportUse(gateway_node& self, outgoing& due, state::time_point now)
{
    for (auto& [team, use] : self.allowances.uses) {
        if (use.newlyAdmitted + use.newlyRefused == 0)
            continue;
        const allowance_report report { team, use.admitted, use.refused, std::exchange(use.newlyAdmitted, 0),
            std::exchange(use.newlyRefused, 0), std::nullopt };
        for (const auto& ip : refreshKeepers(self, use.keepers, team, now).own) {
            if (ip == self.settings.ip) {
                recordHostReport(self, ip, self.settings.incarnation, report, true, now);
                startKeeping(self, now);
            } else
                due.reports[ip].push_back(report);
        }
    }
}

/// Reports the sums of this data centre to the other keepers of a team.
void reportToKeepers(gateway_node& self, team_digest team, kept_team& kept, outgoing& due, state::time_point now)
{
    const auto report = makeKeeperReport(kept, team, now);
    const auto& keepers = refreshKeepers(self, kept.keepers, team, now);
    for (const auto& ip : keepers.own) {
        if (ip != self.settings.ip)
            due.reports[ip].push_back(report);
    }
    for (const auto& [dataCentre, others] : keepers.others) {
        for (const auto& ip : others)
            due.reports[ip].push_back(report);
    }
}

void stepKept(
    gateway_node& self, team_digest team, kept_team& kept, outgoing& due, state::time_point now, effect_list& effects)
{
    const auto& keepers = refreshKeepers(self, kept.keepers, team, now);
    for (const auto& [dataCentre, others] : keepers.others)
        expectRemote(kept.allowance, dataCentre);
    updateRatio(kept.allowance, now);
    updateLimit(self, kept, team, now, effects);
    if (!isActing(self, kept, now))
        return;
    if (now >= kept.nextReportAt && isActive(kept.allowance, now)) {
        reportToKeepers(self, team, kept, due, now);
        kept.nextReportAt = now + reportInterval(kept, now);
    }
    if (kept.limited)
        due.notices.push_back(
            { team, kept.allowance.ratio, timeToReturn(kept.allowance, now), now - kept.allowance.startedAt });
}

void keepTeams(gateway_node& self, outgoing& due, state::time_point now, effect_list& effects)
{
    bool busy = false;
    for (auto& [team, kept] : self.allowances.kept) {
        if (!isActive(kept.allowance, now) && !kept.limited)
            continue;
        stepKept(self, team, kept, due, now, effects);
        busy = true;
    }
    self.allowances.keepAt = busy ? std::optional { now + keeperInterval } : std::nullopt;
}

} // namespace

void handleAllowanceMessages(gateway_node& self, const state::gateway::peer_heartbeat& message, state::time_point now)
{
    if (message.allowanceReports.empty() && message.allowanceNotices.empty())
        return;
    updateTeams(self, now);
    // A host that was paused sends and receives late. Fleet time shows how late.
    const auto time = fleetTime(self, now);
    const auto age
        = time && message.fleetTime ? std::max(*time - *message.fleetTime, state::duration {}) : state::duration {};
    for (const auto& report : message.allowanceReports) {
        if (!self.allowances.teams.contains(report.team))
            continue;
        const bool isRecent = age < self.settings.limits.quotaWindow;
        if (!report.keeper)
            recordHostReport(self, message.sender, message.incarnation, report, isRecent, now);
        else if (message.dataCentre == self.settings.dataCentre)
            recordOtherKeeperReport(self, message.sender, report, now);
        else
            recordRemoteReport(self, message.dataCentre, message.sender, message.incarnation, report, now);
        startKeeping(self, now);
    }
    for (const auto& notice : message.allowanceNotices) {
        if (message.dataCentre == self.settings.dataCentre && self.allowances.teams.contains(notice.team))
            adoptNotice(self, message.sender, notice, age, now);
    }
}

void processAllowances(gateway_node& self, state::time_point now, effect_list& effects)
{
    auto& allowances = self.allowances;
    if (!allowances.reportAt && !allowances.keepAt)
        return;
    updateTeams(self, now);
    outgoing due;
    if (allowances.reportAt && now >= *allowances.reportAt) {
        allowances.reportAt.reset();
        reportUse(self, due, now);
    }
    if (allowances.keepAt && now >= *allowances.keepAt)
        keepTeams(self, due, now, effects);
    sendAll(self, due, now, effects);
}

std::optional<state::time_point> nextAllowanceStep(const gateway_node& self) noexcept
{
    const auto& allowances = self.allowances;
    if (allowances.reportAt && allowances.keepAt)
        return std::min(*allowances.reportAt, *allowances.keepAt);
    return allowances.reportAt ? allowances.reportAt : allowances.keepAt;
}

} // namespace acaciaslip::coordination::gateway
