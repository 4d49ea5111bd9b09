#include "coordination/gateway/team_allowance.hpp"

#include <algorithm>
#include <cmath>

namespace acaciaslip::coordination::gateway {

namespace {

using seconds = std::chrono::duration<double>;

/// Part of the tolerated excess that the bucket grants. The rest covers what hosts admit before they know of a limit,
/// and a restart of all hosts, which grants `startShare` again.
constexpr double grantedShare = 0.25;
constexpr double startShare = 0.5; ///< part of the tolerated excess in the bucket of a keeper that has just started
/// Demand is averaged over the time in which this many requests are permitted, within the following limits: a shorter
/// time follows a change sooner, but its average of few requests is noise.
constexpr double averagedRequests = 20;
constexpr double minAveragingTime = 0.5; ///< s; ten batches of reports
constexpr double maxAveragingTime = 2.5; ///< s; half of the default window
constexpr double emptyingTime = 1; ///< s in which the bucket may run empty; five times the delay of a notice
constexpr double minServedShare = 0.25; ///< of the rate, while the bucket recovers from an excess
constexpr state::duration activityTime = std::chrono::seconds { 1 }; ///< after the latest request
constexpr state::duration silenceTime
    = std::chrono::seconds { 1 }; ///< two reports of a team that is not near its limit
/// A keeper's report is preferred over another one's of the same data centre until it is this old.
constexpr state::duration senderHold = std::chrono::milliseconds { 700 };
constexpr double nearLevel = 0.75; ///< of the depth, below which a team is near its limit
/// Part of each data centre's share that does not depend on its demand, so that one without demand before it was cut
/// off can serve requests that arrive there meanwhile.
constexpr double fixedPart = 0.25;
/// Time for which a data centre that is not heard keeps its share. Its hosts may run on without being reached; after
/// this time they are rather gone.
constexpr state::duration shareHold = std::chrono::minutes { 10 };
constexpr state::duration levelAdoption = std::chrono::seconds { 1 }; ///< difference in time that makes another wiser
constexpr state::duration minReturn = std::chrono::milliseconds { 100 };
constexpr double returnShare = 0.25; ///< of the time that the refused requests of a window need at the permitted rate

double toSeconds(state::duration span)
{
    return seconds(span).count();
}

double averagingTime(const allowance_terms& terms)
{
    return std::clamp(averagedRequests / terms.rate, minAveragingTime, maxAveragingTime);
}

double decayed(double perSecond, state::duration age, const allowance_terms& terms)
{
    return age <= state::duration::zero() ? perSecond : perSecond * std::exp(-toSeconds(age) / averagingTime(terms));
}

void spend(team_allowance& kept, double requests, state::time_point now)
{
    add(kept.spent, requests, kept.terms.window, now);
    kept.level -= requests;
}

/// Part of the allowance that is left to the data centres that this keeper hears of.
double reachableShare(const team_allowance& kept)
{
    double share = 1;
    for (const auto& [dataCentre, remote] : kept.remotes)
        share -= remote.silent ? remote.share : 0;
    return std::max(share, 0.0);
}

double remoteDemand(const team_allowance& kept, const remote_use& remote, state::time_point now)
{
    return remote.heardAt ? decayed(remote.demand, now - *remote.heardAt - silenceTime, kept.terms) : 0;
}

/// Demand of the data centres that this keeper hears of.
double reachableDemand(const team_allowance& kept, state::time_point now)
{
    double demand = currentDemand(kept, now);
    for (const auto& [dataCentre, remote] : kept.remotes)
        demand += remote.silent ? 0 : remoteDemand(kept, remote, now);
    return demand;
}

/// Part of the allowance that a data centre has used last. It and the others assume the same while cut off.
double findShare(const team_allowance& kept, const remote_use& remote)
{
    const double equal = 1 / static_cast<double>(kept.remotes.size() + 1);
    double total = kept.usualDemand;
    for (const auto& [dataCentre, other] : kept.remotes)
        total += other.usualDemand;
    const bool known = remote.heardAt && total > 0;
    return known ? fixedPart * equal + (1 - fixedPart) * remote.usualDemand / total : equal;
}

/// Shares follow an average over a window, since the demand of a few requests a second fluctuates by half.
void updateUsualDemand(team_allowance& kept, state::time_point now)
{
    const double weight = std::min(1.0, toSeconds(now - kept.updatedAt) / toSeconds(kept.terms.window));
    kept.usualDemand += (currentDemand(kept, now) - kept.usualDemand) * weight;
    for (auto& [dataCentre, remote] : kept.remotes) {
        if (!remote.silent)
            remote.usualDemand += (remoteDemand(kept, remote, now) - remote.usualDemand) * weight;
    }
}

/// Requests that may still be admitted: what is in the bucket, or what the rule leaves in the window. A bucket alone
/// would refuse a demand that exceeds the rate for long, although no window holds more than rate x window + burst.
double findRoom(team_allowance& kept, state::time_point now)
{
    if (now - kept.countedSince < kept.terms.window || reachableShare(kept) < 1)
        return kept.level;
    const auto& terms = kept.terms;
    const double permitted = terms.rate * toSeconds(terms.window) + bucketDepth(terms);
    return std::max(kept.level, permitted - sumOf(kept.spent, terms.window, now));
}

void updateSilence(team_allowance& kept, state::time_point now)
{
    const double before = reachableShare(kept);
    const double room = findRoom(kept, now);
    for (auto& [dataCentre, remote] : kept.remotes) {
        const auto since = std::max(remote.heardAt.value_or(kept.startedAt), kept.activeSince);
        const bool silent = isActive(kept, now) && now - since > silenceTime;
        if (silent && !remote.silent) {
            remote.share = findShare(kept, remote);
            remote.silentSince = now;
        }
        if (remote.silent && !silent)
            kept.countedSince = now; // requests admitted there while it was silent are unknown
        remote.silent = silent;
    }
    std::erase_if(kept.remotes,
        [&](const auto& entry) { return entry.second.silent && now - entry.second.silentSince > shareHold; });
    const double after = reachableShare(kept);
    if (after == before)
        return;
    // The window's sum is not known while a data centre is silent, so that the bucket has to hold what is left.
    kept.level = std::min(room, bucketDepth(kept.terms) * before);
    if (kept.level > 0)
        kept.level *= before > 0 ? after / before : 0;
}

void fill(team_allowance& kept, state::time_point now)
{
    const double share = reachableShare(kept);
    const double depth = bucketDepth(kept.terms) * share;
    const double filled = kept.level + kept.terms.rate * share * toSeconds(now - kept.updatedAt);
    kept.level = std::clamp(filled, -kept.terms.excess, std::max(depth, 1.0));
    kept.updatedAt = now;
}

void markActive(team_allowance& kept, state::time_point now)
{
    if (!isActive(kept, now))
        kept.activeSince = now;
    kept.changedAt = now;
}

} // namespace

allowance_terms makeTerms(const state::gateway::team& team, const fleet_limits& limits) noexcept
{
    const double permitted = team.ratePerSecond * toSeconds(limits.quotaWindow) + team.burst;
    return { team.ratePerSecond, team.burst, limits.quotaWindow, permitted * limits.quotaExcess + limits.quotaSlack };
}

double bucketDepth(const allowance_terms& terms) noexcept
{
    return terms.burst + terms.excess * grantedShare;
}

double startLevel(const allowance_terms& terms) noexcept
{
    return std::min(bucketDepth(terms), terms.excess * startShare);
}

team_allowance makeAllowance(const allowance_terms& terms, bool isIdle, state::time_point now)
{
    team_allowance made;
    made.terms = terms;
    made.level = isIdle ? bucketDepth(terms) : startLevel(terms);
    made.updatedAt = now;
    made.startedAt = now;
    made.countedSince = isIdle ? now - terms.window : now;
    made.demand.updatedAt = now;
    made.changedAt = now - activityTime;
    made.activeSince = now;
    return made;
}

void changeTerms(team_allowance& kept, const allowance_terms& terms, state::time_point now)
{
    if (kept.terms == terms)
        return;
    fill(kept, now);
    const double before = bucketDepth(kept.terms);
    const double after = bucketDepth(terms);
    if (after > before)
        kept.level += after - before;
    else if (kept.level > 0)
        kept.level *= after / before;
    if (terms.window != kept.terms.window) {
        kept.spent = {};
        kept.countedSince = now;
    }
    kept.terms = terms;
}

void recordUse(
    team_allowance& kept, std::uint64_t admitted, std::uint64_t refused, bool isRecent, state::time_point now)
{
    if (admitted + refused == 0)
        return;
    markActive(kept, now);
    kept.admitted += admitted;
    kept.refused += refused;
    spend(kept, static_cast<double>(admitted), now);
    if (!isRecent)
        return;
    const double requests = static_cast<double>(admitted) + static_cast<double>(refused);
    kept.demand.perSecond = currentDemand(kept, now) + requests / averagingTime(kept.terms);
    kept.demand.updatedAt = now;
}

void expectRemote(team_allowance& kept, const state::data_centre_id& dataCentre)
{
    kept.remotes[dataCentre];
}

void recordRemoteUse(team_allowance& kept, const state::data_centre_id& dataCentre, const std::string& sender,
    std::int64_t incarnation, const state::gateway::allowance_report& report, state::time_point now)
{
    if (!report.keeper)
        return;
    auto& remote = kept.remotes[dataCentre];
    const bool isSame = remote.sender == sender && remote.incarnation == incarnation;
    const bool isHeld = remote.heardAt && now - *remote.heardAt < senderHold;
    if (!isSame && isHeld && report.keeper->knownFor <= remote.knownFor)
        return; // both keepers report, which must not count twice
    const bool isCounted = isSame && report.admitted >= remote.admitted;
    const auto admitted = isCounted ? report.admitted - remote.admitted : report.newlyAdmitted;
    if (admitted + report.newlyRefused > 0)
        markActive(kept, now);
    // What was admitted while nothing was heard is within the share that this data centre was left.
    if (!remote.silent)
        spend(kept, static_cast<double>(admitted), now);
    remote.sender = sender;
    remote.incarnation = incarnation;
    remote.admitted = report.admitted;
    remote.knownFor = report.keeper->knownFor;
    remote.heardAt = now;
    remote.demand = report.keeper->demand;
}

void adoptLevel(team_allowance& kept, const state::gateway::keeper_state& other, state::time_point now)
{
    const auto known = now - kept.startedAt;
    if (known < kept.terms.window && other.knownFor > known + levelAdoption)
        kept.level = std::clamp(other.level, -kept.terms.excess, bucketDepth(kept.terms));
}

void updateRatio(team_allowance& kept, state::time_point now)
{
    updateSilence(kept, now);
    updateUsualDemand(kept, now);
    fill(kept, now);
    const double demand = reachableDemand(kept, now);
    const double rate = kept.terms.rate * reachableShare(kept);
    const double permitted = std::max(rate + findRoom(kept, now) / emptyingTime, rate * minServedShare);
    kept.ratio = demand > permitted ? permitted / demand : 1;
}

bool isActive(const team_allowance& kept, state::time_point now) noexcept
{
    return now - kept.changedAt < activityTime;
}

bool isNearLimit(const team_allowance& kept, state::time_point now) noexcept
{
    return kept.ratio < 1 || kept.level < bucketDepth(kept.terms) * nearLevel
        || reachableDemand(kept, now) > kept.terms.rate;
}

double currentDemand(const team_allowance& kept, state::time_point now) noexcept
{
    return decayed(kept.demand.perSecond, now - kept.demand.updatedAt, kept.terms);
}

state::duration timeToReturn(const team_allowance& kept, state::time_point now) noexcept
{
    const double rate = kept.terms.rate * std::max(reachableShare(kept), minServedShare);
    const double untilLevel = std::max(0.0, 1 - kept.level) / rate;
    const double excess = std::max(0.0, reachableDemand(kept, now) / rate - 1) * toSeconds(kept.terms.window);
    const auto wait = std::chrono::duration_cast<state::duration>(
        seconds(std::min(std::max(untilLevel, excess * returnShare), toSeconds(kept.terms.window))));
    return std::max(wait, minReturn);
}

} // namespace acaciaslip::coordination::gateway
