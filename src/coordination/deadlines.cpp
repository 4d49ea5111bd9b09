#include "coordination/deadlines.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

state::time_point findDueTime(const state::request& request, state::time_point now)
{
    auto due = request.deadline;
    if (request.waitingUntil) {
        due = std::min(due, *request.waitingUntil);
        if (request.retryAt > now)
            due = std::min(due, request.retryAt);
    }
    if (request.hedgeAt)
        due = std::min(due, *request.hedgeAt);
    return due;
}

} // namespace

void scheduleRequest(state::request_table& table, state::request& request, state::time_point now)
{
    const auto due = findDueTime(request, now);
    if (due == request.dueAt)
        return;
    table.dueTimes.erase({ request.dueAt, request.id });
    request.dueAt = due;
    table.dueTimes.insert({ due, request.id });
}

void unscheduleRequest(state::request_table& table, const state::request& request)
{
    table.dueTimes.erase({ request.dueAt, request.id });
}

std::optional<state::time_point> nextWakeUp(const state::request_table& table) noexcept
{
    if (table.dueTimes.empty())
        return std::nullopt;
    return table.dueTimes.begin()->at;
}

} // namespace acaciaslip::coordination
