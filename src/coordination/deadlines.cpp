#include "coordination/deadlines.hpp"

#include <algorithm>

namespace acaciaslip::coordination {

namespace {

state::time_point findDueTime(const state::request& request, state::time_point now)
{
    auto due = request.deadline;
    if (request.waitingUntil) {
        due = std::min(due, *request.waitingUntil);
        if (request.notBefore > now)
            due = std::min(due, request.notBefore);
    }
    if (request.hedgeAt)
        due = std::min(due, *request.hedgeAt);
    return due;
}

} // namespace

void scheduleRequest(state::request_ledger& ledger, state::request& request, state::time_point now)
{
    const auto due = findDueTime(request, now);
    if (due == request.dueAt)
        return;
    ledger.due.erase({ request.dueAt, request.id });
    request.dueAt = due;
    ledger.due.insert({ due, request.id });
}

void unscheduleRequest(state::request_ledger& ledger, const state::request& request)
{
    ledger.due.erase({ request.dueAt, request.id });
}

std::optional<state::time_point> nextWakeUp(const state::request_ledger& ledger) noexcept
{
    if (ledger.due.empty())
        return std::nullopt;
    return ledger.due.begin()->at;
}

} // namespace acaciaslip::coordination
