#include "coordination/gateway/shared_crashes.hpp"

#include <algorithm>
#include <span>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::crash_report;
using state::gateway::request_digest;
using state::gateway::server_crash;

/// Servers that lose their power together end within this time, as hosts see it. Servers that end further apart have
/// separate causes.
constexpr state::duration sameLossTime = std::chrono::milliseconds { 200 };
constexpr std::size_t maxEnded = 256; ///< more than the servers of one data centre
/// Two ends of a server within this time are the same one, reported by several hosts.
constexpr state::duration sameEndTime = std::chrono::seconds { 1 };

using crash_span = std::span<server_crash>;

bool ranOnAll(const crash_report& report, crash_span crashes)
{
    return std::all_of(
        crashes.begin(), crashes.end(), [&](const server_crash& crash) { return hasCrash(report, crash); });
}

/// Whether a request with copies on several servers has ended this one.
bool isExplainedByCopies(const suspect_table& suspects, const ended_server& ended)
{
    const server_crash crash { ended.server, ended.endedAt, ended.endedAt };
    return std::any_of(suspects.begin(), suspects.end(), [&](const auto& entry) {
        const auto& report = entry.second.report;
        return hasCrash(report, crash)
            && std::any_of(report.crashes.begin(), report.crashes.end(), [&](const server_crash& other) {
                   return other.server != ended.server && other.endedAt <= ended.endedAt + sameLossTime
                       && ended.endedAt <= other.endedAt + sameLossTime;
               });
    });
}

/// Whether a server ended at the time of these crashes that is not among theirs, for an unknown reason.
bool hasFurtherEnds(const suspect_table& suspects, const ended_servers& ended, crash_span crashes)
{
    const auto from = crashes.front().endedAt - sameLossTime;
    const auto until = crashes.back().endedAt + sameLossTime;
    return std::any_of(ended.begin(), ended.end(), [&](const ended_server& other) {
        return other.endedAt >= from && other.endedAt <= until
            && std::none_of(
                crashes.begin(), crashes.end(), [&](const server_crash& crash) { return crash.server == other.server; })
            && !isExplainedByCopies(suspects, other);
    });
}

bool isShared(const suspect_table& suspects, const ended_servers& ended, const crash_report& report, crash_span crashes)
{
    const bool isKnown
        = std::any_of(crashes.begin(), crashes.end(), [](const server_crash& crash) { return crash.isShared; });
    return isKnown || std::any_of(suspects.begin(), suspects.end(), [&](const auto& entry) {
        const auto& other = entry.second.report;
        return other.request != report.request && !isSameRequest(other, report) && ranOnAll(other, crashes);
    }) || hasFurtherEnds(suspects, ended, crashes);
}

/// Marks the crashes of each group of runs that overlap, if they are shared.
/// \param report its crashes are sorted by their ends
/// \return whether any was marked that was not before
bool markGroups(const suspect_table& suspects, const ended_servers& ended, crash_report& report)
{
    bool marked = false;
    auto& crashes = report.crashes;
    for (auto first = crashes.begin(); first != crashes.end();) {
        auto last = std::next(first);
        while (last != crashes.end() && last->startedAt < std::prev(last)->endedAt)
            ++last;
        const crash_span group { first, last };
        const bool isMarked
            = std::all_of(group.begin(), group.end(), [](const server_crash& crash) { return crash.isShared; });
        if (group.size() > 1 && !isMarked && isShared(suspects, ended, report, group)) {
            for (auto& crash : group)
                crash.isShared = true;
            marked = true;
        }
        first = last;
    }
    return marked;
}

} // namespace

void recordEnd(ended_servers& ended, const server_crash& crash)
{
    const bool isKnown = std::any_of(ended.begin(), ended.end(), [&](const ended_server& known) {
        return known.server == crash.server && known.endedAt < crash.endedAt + sameEndTime
            && crash.endedAt < known.endedAt + sameEndTime;
    });
    if (isKnown)
        return;
    ended.push_back({ crash.server, crash.endedAt });
    if (ended.size() > maxEnded)
        ended.pop_front();
}

std::vector<request_digest> markSharedCrashes(suspect_table& suspects, const ended_servers& ended)
{
    std::vector<request_digest> marked;
    for (auto& [request, suspect] : suspects) {
        // Fewer crashes have no effect yet, and most suspects have only one.
        if (suspect.report.crashes.size() >= lethalCrashes && markGroups(suspects, ended, suspect.report))
            marked.push_back(request);
    }
    return marked;
}

} // namespace acaciaslip::coordination::gateway
