#include "coordination/gateway/crash_suspects.hpp"

#include <algorithm>
#include <array>
#include <tuple>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::crash_report;
using state::gateway::digest_scope;
using state::gateway::request_digest;
using state::gateway::server_crash;

/// A server takes longer than this to restart, so two crashes of it within this time are the same one.
constexpr state::duration sameCrashTime = std::chrono::seconds { 1 };
/// Time for a report to reach all hosts and for their objections to return.
constexpr state::duration objectionTime = std::chrono::milliseconds { 30 };
/// The clocks of two hosts differ by the network's delay.
constexpr state::duration clockTolerance = std::chrono::seconds { 1 };
constexpr std::size_t maxCrashes = 8; ///< of one suspect
constexpr std::size_t maxAnswered = 2048;
/// Sends of a request that are tolerated later than the time in which hosts learn of its third crash.
constexpr std::size_t maxLateSends = 3;
/// A request may have been refused wrongly, and no longer runs anywhere that would show it. Each trial may end a
/// server.
constexpr std::array<state::duration, 2> trialTimes { std::chrono::minutes { 1 }, std::chrono::minutes { 5 } };

bool isSameCrash(const server_crash& left, const server_crash& right) noexcept
{
    return left.server == right.server
        && std::max(left.endedAt, right.endedAt) - std::min(left.endedAt, right.endedAt) < sameCrashTime;
}

/// Counts crashes; shared ones only if their runs do not overlap. The crashes are sorted by their ends.
template <typename Counts> std::size_t countSequence(const std::vector<server_crash>& crashes, const Counts& counts)
{
    std::size_t found = 0;
    std::optional<state::time_point> lastEnd;
    for (const auto& crash : crashes) {
        if ((crash.isShared && lastEnd && crash.startedAt < *lastEnd) || !counts(crash))
            continue;
        lastEnd = crash.endedAt;
        ++found;
    }
    return found;
}

std::size_t crashesToRefuse(const crash_report& report) noexcept
{
    if (report.answeredAt)
        return lethalCrashesIfAnswered;
    return report.scope == digest_scope::exact ? lethalCrashes : lethalCrashesAnyQuery;
}

bool isLethal(const crash_report& report) noexcept
{
    return countSequence(report.crashes, [](const server_crash&) { return true; }) >= crashesToRefuse(report);
}

/// Whether one suspect is more likely to have ended a server than another: it was never answered, or ended more.
bool isWorse(const crash_report& left, const crash_report& right) noexcept
{
    if (left.answeredAt.has_value() != right.answeredAt.has_value())
        return !left.answeredAt;
    return left.crashes.size() > right.crashes.size();
}

/// Whether a worse suspect has ended this server too.
bool isExplained(const suspect_table& suspects, const crash_report& report, const server_crash& crash) noexcept
{
    return std::any_of(suspects.begin(), suspects.end(), [&](const auto& entry) {
        const auto& other = entry.second.report;
        return !isSameRequest(other, report) && isWorse(other, report) && hasCrash(other, crash) && isLethal(other);
    });
}

/// Evicts one suspect: one that is not refused if there is any, and among these the one not seen for longest.
void evictOne(suspect_table& suspects)
{
    const auto rank = [](const auto& entry) {
        return std::tuple { entry.second.refusedFrom.has_value(), entry.second.report.lastSeenAt };
    };
    suspects.erase(std::min_element(suspects.begin(), suspects.end(),
        [&](const auto& left, const auto& right) { return rank(left) < rank(right); }));
}

} // namespace

bool mergeReport(suspect_table& suspects, const crash_report& report, state::time_point time)
{
    const auto latest = time + clockTolerance;
    if (report.lastSeenAt > latest || report.lastSeenAt + suspicionTime < time
        || (report.answeredAt && *report.answeredAt > latest))
        return false;
    if (!suspects.contains(report.request) && suspects.size() >= maxSuspects)
        evictOne(suspects);
    auto [position, isNew] = suspects.try_emplace(report.request);
    auto& known = position->second.report;
    if (isNew)
        known.scope = report.scope;
    if (known.anyQuery == request_digest {})
        known.anyQuery = report.anyQuery;
    const auto before = known;
    known.request = report.request;
    known.lastSeenAt = std::max(known.lastSeenAt, report.lastSeenAt);
    known.answeredAt = std::max(known.answeredAt, report.answeredAt);
    for (const auto& crash : report.crashes) {
        if (crash.endedAt > latest)
            continue;
        const auto found = std::find_if(known.crashes.begin(), known.crashes.end(),
            [&](const server_crash& other) { return isSameCrash(other, crash); });
        if (found == known.crashes.end())
            known.crashes.push_back(crash);
        else
            found->isShared = found->isShared || crash.isShared;
    }
    std::erase_if(
        known.crashes, [&](const auto& crash) { return known.answeredAt && crash.startedAt <= *known.answeredAt; });
    std::stable_sort(known.crashes.begin(), known.crashes.end(),
        [](const auto& left, const auto& right) { return left.endedAt < right.endedAt; });
    known.crashes.resize(std::min(known.crashes.size(), maxCrashes));
    return isNew || known.crashes != before.crashes || known.answeredAt != before.answeredAt;
}

std::vector<request_digest> updateRefusals(suspect_table& suspects, state::time_point time)
{
    std::vector<request_digest> changed;
    for (auto& [request, suspect] : suspects) {
        const bool isRefused = countCrashes(suspects, suspect.report) >= crashesToRefuse(suspect.report);
        if (isRefused == suspect.refusedFrom.has_value())
            continue;
        suspect.trials = 0;
        suspect.refusedFrom = isRefused ? std::optional(time + objectionTime) : std::nullopt;
        changed.push_back(request);
    }
    return changed;
}

void expireSuspects(suspect_table& suspects, state::time_point time)
{
    std::erase_if(suspects, [&](const auto& entry) { return entry.second.report.lastSeenAt + suspicionTime < time; });
}

bool hasCrash(const crash_report& report, const server_crash& wanted) noexcept
{
    return std::any_of(report.crashes.begin(), report.crashes.end(),
        [&](const server_crash& known) { return isSameCrash(known, wanted); });
}

bool isSameRequest(const crash_report& left, const crash_report& right) noexcept
{
    return left.request == right.anyQuery || left.anyQuery == right.request;
}

std::size_t countCrashes(const suspect_table& suspects, const crash_report& report) noexcept
{
    if (report.crashes.size() < lethalCrashes)
        return countSequence(report.crashes, [](const server_crash&) { return true; });
    return countSequence(
        report.crashes, [&](const server_crash& crash) { return !isExplained(suspects, report, crash); });
}

bool isTrialDue(const crash_suspect& suspect, state::time_point time) noexcept
{
    const auto lateCrashes = crashesToRefuse(suspect.report) - lethalCrashes;
    return suspect.refusedFrom && suspect.trials < std::min(trialTimes.size(), maxLateSends - lateCrashes)
        && time >= *suspect.refusedFrom + trialTimes[suspect.trials];
}

void recordAnswered(answered_requests& answered, const request_digest& request, state::time_point at)
{
    answered.order.emplace_back(at, request);
    answered.latest[request] = at;
    while (answered.order.size() > maxAnswered || answered.order.front().first + suspicionTime < at) {
        const auto& [oldestAt, oldest] = answered.order.front();
        const auto found = answered.latest.find(oldest);
        if (found != answered.latest.end() && found->second == oldestAt)
            answered.latest.erase(found);
        answered.order.pop_front();
    }
}

std::optional<state::time_point> findAnswered(const answered_requests& answered, const request_digest& request)
{
    const auto found = answered.latest.find(request);
    return found == answered.latest.end() ? std::nullopt : std::optional(found->second);
}

} // namespace acaciaslip::coordination::gateway
