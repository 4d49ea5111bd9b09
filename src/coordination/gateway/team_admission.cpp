#include "coordination/gateway/team_admission.hpp"

#include <algorithm>

#include <xxhash.h>

namespace acaciaslip::coordination::gateway {

namespace {

constexpr state::duration reportDelay = std::chrono::milliseconds { 50 }; ///< in which requests are reported together
constexpr state::duration noticeLifetime = std::chrono::seconds { 1 }; ///< ten renewals
/// A host that hears nothing for this time is cut off. Each host receives one heartbeat a second on average, so that
/// silence of 10 s is an accident in 1 of 20,000 cases.
constexpr state::duration silenceOfAll = std::chrono::seconds { 10 };
/// Likewise for a host whose keepers have stopped to renew a limit without ending it, and for one that has started and
/// has never heard of another host.
constexpr state::duration silenceOfKeepers = std::chrono::seconds { 2 };
constexpr std::uint32_t randomSteps = 1024;

double randomShare(random_generator& random)
{
    return static_cast<double>(random(randomSteps)) / randomSteps;
}

/// Whether this host reaches no other one, so that nobody can tell it of a limit.
bool isCutOff(const gateway_node& self, const team_use& use, state::time_point now)
{
    if (self.share.hosts <= 1 && self.settings.seeds.empty())
        return false;
    const bool limitLost = use.notice && use.notice->ratio < 1 && !isInForce(*use.notice, now);
    const auto& heardAt = self.allowances.heardAt;
    const auto tolerated = limitLost || !heardAt ? silenceOfKeepers : silenceOfAll;
    return now - heardAt.value_or(self.membership.startedAt) >= tolerated;
}

/// Number of hosts that share an allowance while they do not hear of each other. Those that were known before may run
/// on.
double countSharers(const gateway_node& self)
{
    return std::max({ self.share.hosts, self.allowances.hostsHeard, 1U });
}

/// Admits this host's equal share.
bool admitLocally(const gateway_node& self, team_use& use, const allowance_terms& terms, state::time_point now)
{
    const double hosts = countSharers(self);
    if (!use.localSince)
        use.localLevel = startLevel(terms) / hosts;
    const auto passed = std::chrono::duration<double>(now - use.localSince.value_or(now)).count();
    const double depth = std::max(1.0, bucketDepth(terms) / hosts);
    use.localLevel = std::min(use.localLevel + passed * terms.rate / hosts, depth);
    use.localSince = now;
    if (use.localLevel < 1)
        return false;
    use.localLevel -= 1;
    return true;
}

/// Spreads the callers over the time after the earliest one at which they may expect service.
state::duration spread(state::duration earliest, random_generator& random)
{
    return earliest + earliest / randomSteps * random(randomSteps);
}

team_admission decide(const gateway_node& self, team_use& use, const state::gateway::team& team, state::time_point now,
    random_generator& random)
{
    if (isCutOff(self, use, now)) {
        const auto terms = makeTerms(team, self.settings.limits);
        if (admitLocally(self, use, terms, now))
            return {};
        const auto wait = std::chrono::duration<double>((1 - use.localLevel) * countSharers(self) / terms.rate);
        return { false, spread(std::chrono::duration_cast<state::duration>(wait), random), 0, {}, {} };
    }
    use.localSince.reset();
    const auto& notice = use.notice;
    if (!notice || notice->ratio >= 1 || !isInForce(*notice, now))
        return {};
    // Every request adds its chance to be admitted. The admitted share then deviates less than with independent
    // choices.
    use.credit += notice->ratio;
    team_admission decided { use.credit >= 1, {}, notice->ratio, now - notice->renewedAt, notice->keeper };
    if (decided.admitted)
        use.credit -= 1;
    else
        decided.retryAfter = spread(notice->retryAfter, random);
    return decided;
}

} // namespace

team_admission admitTeamRequest(
    gateway_node& self, const state::gateway::team& team, state::time_point now, random_generator& random)
{
    if (team.ratePerSecond <= 0)
        return {};
    auto& allowances = self.allowances;
    const auto [found, isNew] = allowances.uses.try_emplace(digestOf(team));
    auto& use = found->second;
    if (isNew)
        use.credit = randomShare(random); // hosts that see one request each would otherwise all refuse it
    auto decided = decide(self, use, team, now, random);
    ++(decided.admitted ? use.admitted : use.refused);
    ++(decided.admitted ? use.newlyAdmitted : use.newlyRefused);
    if (!allowances.reportAt)
        allowances.reportAt = now + reportDelay;
    return decided;
}

state::gateway::team_digest digestOf(const state::gateway::team& team) noexcept
{
    return XXH3_64bits(team.name.data(), team.name.size());
}

bool isInForce(const received_notice& notice, state::time_point now) noexcept
{
    return now - notice.renewedAt < noticeLifetime;
}

} // namespace acaciaslip::coordination::gateway
