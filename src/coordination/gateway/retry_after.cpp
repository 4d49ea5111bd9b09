#include "coordination/gateway/retry_after.hpp"

#include "coordination/gateway/request_classes.hpp"
#include "coordination/gateway/server_back_off.hpp"
#include "coordination/gateway/service_outage.hpp"
#include "coordination/gateway/shed_order.hpp"
#include "coordination/gateway/store_news.hpp"

#include <algorithm>
#include <string_view>

namespace acaciaslip::coordination::gateway {

namespace {

/// Another host can serve the request at once.
constexpr state::duration afterLeaving = std::chrono::milliseconds { 10 };
constexpr state::duration afterStarting = std::chrono::milliseconds { 200 }; ///< until the configuration has been read
constexpr state::duration afterNoServer = std::chrono::milliseconds { 250 }; ///< until servers are available again
constexpr state::duration maxAfterOutage = std::chrono::seconds { 5 }; ///< in which a server starts again
constexpr state::duration afterOverload = std::chrono::milliseconds { 100 }; ///< until a running request finishes
/// Share of the typical service time: by then half of the slots have been freed.
constexpr double overloadServiceTimeShare = 0.5;
/// After a server has refused a request although it had room: another attempt is as likely to be accepted now as later.
constexpr state::duration afterRefusalWithRoom = std::chrono::milliseconds { 20 };

state::duration addJitter(state::duration base, random_generator& random)
{
    const auto half = static_cast<std::uint32_t>(base.count() / 2);
    return base / 2 + state::duration { random(half + 1) } + state::duration { half / 2 };
}

/// A caller that returns before the given time would be refused again. The time after it spreads the callers.
state::duration addSpread(state::duration earliest, random_generator& random)
{
    const auto spread = std::max<state::duration>(earliest / 2, afterOverload);
    return earliest + spread / 1024 * random(1024); // NOLINT(readability-magic-numbers): steps of the spread
}

/// Pattern: a service whose servers refuse part of their requests although they have free slots. Waiting for a slot
/// gains nothing, and costs callers with a short objective the time for another attempt.
bool isRefusedWithRoom(const gateway_node& self, const state::gateway::pending_request& request)
{
    const auto service = self.services.find(request.service);
    if (service == self.services.end() || !service->second.hasPriorities || request.tried.empty()
        || request.lastOutcome != state::attempt_outcome::shed)
        return false;
    const auto server = self.servers.find(request.tried.back());
    if (server == self.servers.end() || !server->second.report)
        return false;
    const auto& report = *server->second.report;
    return report.queued == 0 && report.inFlight < report.slots;
}

state::duration findBase(
    const gateway_node& self, const state::gateway::pending_request* request, state::refusal_reason reason)
{
    switch (reason) {
    case state::refusal_reason::leaving:
        return afterLeaving;
    case state::refusal_reason::no_server:
        return self.config ? afterNoServer : afterStarting;
    case state::refusal_reason::ends_servers:
        return suspicionTime;
    case state::refusal_reason::back_off:
    case state::refusal_reason::overloaded: {
        if (request != nullptr && isRefusedWithRoom(self, *request))
            return afterRefusalWithRoom;
        const auto learned = request != nullptr ? learnedServiceTime(self, *request) : std::nullopt;
        return std::max(afterOverload,
            std::chrono::duration_cast<state::duration>(
                learned.value_or(state::duration {}) * overloadServiceTimeShare));
    }
    default:
        return {};
    }
}

} // namespace

state::duration estimateRetryAfter(const gateway_node& self, const state::gateway::pending_request* request,
    state::refusal_reason reason, state::time_point now, random_generator& random)
{
    const std::string_view service = request != nullptr ? request->service : std::string_view {};
    const bool needsServer = reason == state::refusal_reason::no_server || reason == state::refusal_reason::overloaded
        || reason == state::refusal_reason::back_off;
    if (const auto earliest = needsServer ? timeUntilBackOffEnds(self, service, now) : std::nullopt)
        return addSpread(*earliest, random);
    // Nothing tells when a server that is down starts again. The longer it has been down, the longer it may still take.
    if (const auto outage = needsServer ? outageTime(self, service, now) : std::nullopt)
        return addSpread(std::clamp<state::duration>(*outage, afterNoServer, maxAfterOutage), random);
    if (reason == state::refusal_reason::keys_outdated)
        return addSpread(std::clamp<state::duration>(outdatedFor(self, now), afterNoServer, maxAfterOutage), random);
    const auto base = findBase(self, request, reason);
    const bool isFull
        = reason == state::refusal_reason::overloaded && request != nullptr && !isRefusedWithRoom(self, *request);
    if (const auto spread = isFull ? returnSpread(self, *request) : std::nullopt)
        return base + *spread / 1024 * random(1024); // NOLINT(readability-magic-numbers): steps of the spread
    return base > state::duration::zero() ? addJitter(base, random) : base;
}

} // namespace acaciaslip::coordination::gateway
