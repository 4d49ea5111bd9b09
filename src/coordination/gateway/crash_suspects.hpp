#pragma once

#include "state/gateway/crash_report.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace acaciaslip::coordination::gateway {

/// Pattern: a query of death. One request ends each server that runs it and comes again at any host. Which of the
/// requests in hand has ended a server is not known, so each of them is a suspect. A suspect is refused once servers
/// have ended in three of its runs, without a run that was answered in between. Servers that end together, as when a
/// data centre loses power, count once (`shared_crashes.hpp`), and servers that a worse suspect has ended do not count.
/// A request that was answered earlier is refused only after more crashes, since others may have caused them.
/// Requests that differ in their query alone are a suspect too, with more crashes: a caller that adds the time of
/// sending never sends the same query twice. An answer to any of them clears this suspect.

/// Runs that must have ended with their server before a request is refused.
inline constexpr std::size_t lethalCrashes = 3;
/// Likewise, for requests that differ in their query: one of them says less about the others than an equal one.
inline constexpr std::size_t lethalCrashesAnyQuery = 4;
inline constexpr std::size_t lethalCrashesIfAnswered = 5; ///< likewise, if such a request was answered before
/// For this long after its last arrival or crash, a suspect is remembered, and refused if it is lethal.
inline constexpr state::duration suspicionTime = std::chrono::minutes { 10 };
inline constexpr std::size_t maxSuspects = 512; ///< of both scopes together

struct crash_suspect {
    state::gateway::crash_report report;
    std::optional<state::time_point> refusedFrom; ///< fleet time; set while the request is lethal
    std::uint32_t trials = 0; ///< sends by this host since then, to find out whether it still ends servers
};

using suspect_table = std::map<state::gateway::request_digest, crash_suspect>;

/// Adds what a report says to what is known, in any order and any number of times.
/// \param time fleet time; reports from its future are ignored
/// \return whether anything was new
bool mergeReport(suspect_table& suspects, const state::gateway::crash_report& report, state::time_point time);

/// Updates which suspects are refused. A suspect that has become lethal is refused from a short time later on, in which
/// other hosts can object because they have had an answer to such a request.
/// \return the suspects that have become lethal or have ceased to be
std::vector<state::gateway::request_digest> updateRefusals(suspect_table& suspects, state::time_point time);

/// Removes suspects that have not been seen within `suspicionTime`.
void expireSuspects(suspect_table& suspects, state::time_point time);

/// Whether a suspect may be sent to one server again, to find out whether it still ends servers. One host decides. A
/// suspect that has ended more servers before it was refused has fewer trials.
[[nodiscard]] bool isTrialDue(const crash_suspect& suspect, state::time_point time) noexcept;

/// Whether a server ended during a run of the request, at about that time.
[[nodiscard]] bool hasCrash(
    const state::gateway::crash_report& report, const state::gateway::server_crash& wanted) noexcept;

/// Whether both are digests of the same request, with and without its query. One does not explain the other's crashes.
[[nodiscard]] bool isSameRequest(
    const state::gateway::crash_report& left, const state::gateway::crash_report& right) noexcept;

/// Servers that ended in runs of the request, apart from those that a worse suspect has ended. Of shared crashes, only
/// those of runs one after the other count.
[[nodiscard]] std::size_t countCrashes(
    const suspect_table& suspects, const state::gateway::crash_report& report) noexcept;

/// Digests of the requests that servers have answered lately.
struct answered_requests {
    std::deque<std::pair<state::time_point, state::gateway::request_digest>> order; ///< oldest first
    std::map<state::gateway::request_digest, state::time_point> latest;
};

/// \param at when the request was answered; not before earlier calls
void recordAnswered(answered_requests& answered, const state::gateway::request_digest& request, state::time_point at);

/// When a server last answered such a request; empty: not lately.
[[nodiscard]] std::optional<state::time_point> findAnswered(
    const answered_requests& answered, const state::gateway::request_digest& request);

} // namespace acaciaslip::coordination::gateway
