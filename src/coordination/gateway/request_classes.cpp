#include "coordination/gateway/request_classes.hpp"

#include "coordination/hedging.hpp"

#include <algorithm>
#include <cmath>

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::pending_request;
using state::gateway::request_class;

/// Service time as a share of the objective before any response was seen. Operators set objectives to two to three
/// times the service time.
constexpr double assumedServiceTimeShare = 0.4;
constexpr double serviceTimeWeight
    = 0.1; ///< weight of one response in the moving average, for requests without a class
constexpr std::uint32_t maxResponses = 10; ///< the weight of a response does not fall below the inverse
/// A longer service time counts as this multiple of the typical one. Work of seven times the mean occurs in 3 % of the
/// requests; unbounded, each of them would make the next requests of the class appear to be late.
constexpr double maxServiceTimeFactor = 3;
/// A class without a request for this time makes room for another one.
constexpr state::duration unusedTime = std::chrono::seconds { 60 };
/// Part of a count that is left at a time.
double remainingShare(const request_class& known, state::time_point now) noexcept
{
    return std::exp(-std::max(0.0, std::chrono::duration<double>(now - known.decayedAt) / classCountDecayTime));
}

void decayCounts(request_class& known, state::time_point now) noexcept
{
    const double left = remainingShare(known, now);
    known.recentArrivals *= left;
    known.recentServed *= left;
    known.recentRefused *= left;
    known.decayedAt = now;
}

bool leadsTo(const state::gateway::route& route, const std::string& service) noexcept
{
    return std::any_of(
        route.split.begin(), route.split.end(), [&](const auto& part) { return part.service == service; });
}

std::set<std::uint32_t> findTeamPriorities(const state::gateway::configuration& config)
{
    std::set<std::uint32_t> priorities;
    for (const auto& team : config.teams) {
        if (team.priority)
            priorities.insert(*team.priority);
    }
    return priorities;
}

/// \param priorities those of the teams, which may call any service
bool hasSeveralPriorities(
    const state::gateway::configuration& config, const std::string& service, std::set<std::uint32_t> priorities)
{
    bool hasRoute = false;
    for (const auto& route : config.routes) {
        if (!leadsTo(route, service))
            continue;
        hasRoute = true;
        priorities.insert(route.priority);
    }
    return hasRoute && priorities.size() > 1;
}

/// Latency objectives of the routes to each service.
std::map<std::string, std::set<state::duration>> findObjectives(const state::gateway::configuration& config)
{
    std::map<std::string, std::set<state::duration>> objectives;
    for (const auto& route : config.routes) {
        for (const auto& part : route.split)
            objectives[part.service].insert(route.objective);
    }
    return objectives;
}

/// Removes the service times of objectives that no route uses any longer.
void updateObjectives(service_activity& activity, const std::set<state::duration>& objectives)
{
    activity.hasSeveralObjectives = objectives.size() > 1;
    std::erase_if(activity.serviceTimes, [&](const auto& known) { return !objectives.contains(known.first); });
}

/// Adds the service time of one response to a moving average.
/// \param assumed starting value of an empty average
void updateAverage(std::optional<state::duration>& known, state::duration assumed, state::duration serviceTime)
{
    const auto before = known.value_or(assumed);
    known = before + std::chrono::duration_cast<state::duration>((serviceTime - before) * serviceTimeWeight);
}

/// \param classes those of the request's service, constant or not
template <typename Classes> auto findIn(Classes& classes, const pending_request& request) noexcept
{
    const auto found = std::find_if(classes.begin(), classes.end(), [&](const auto& known) {
        return known.priority == request.priority && known.objective == request.matched->objective;
    });
    return found == classes.end() ? nullptr : &*found;
}

request_class* addClass(service_activity& activity, const pending_request& request, state::time_point now)
{
    if (activity.classes.size() >= maxRequestClasses)
        std::erase_if(activity.classes, [&](const auto& known) { return now - known.lastArrivalAt >= unusedTime; });
    if (activity.classes.size() >= maxRequestClasses)
        return nullptr;
    auto& added = activity.classes.emplace_back();
    added.priority = request.priority;
    added.objective = request.matched->objective;
    return &added;
}

} // namespace

void updateRequestClasses(gateway_node& self)
{
    for (auto& [name, activity] : self.services)
        activity.hasPriorities = false;
    const auto teamPriorities = findTeamPriorities(*self.config);
    for (const auto& service : self.config->services) {
        if (hasSeveralPriorities(*self.config, service.name, teamPriorities))
            self.services[service.name].hasPriorities = true;
    }
    auto objectives = findObjectives(*self.config);
    for (const auto& [service, known] : objectives) {
        if (known.size() > 1)
            self.services.try_emplace(service);
    }
    for (auto& [name, activity] : self.services) {
        if (!activity.hasPriorities)
            activity.classes.clear();
        updateObjectives(activity, objectives[name]);
    }
}

void recordClassArrival(gateway_node& self, const pending_request& request, state::time_point now)
{
    auto& activity = self.services[request.service];
    if (!activity.hasPriorities)
        return;
    auto* known = findIn(activity.classes, request);
    if (known == nullptr)
        known = addClass(activity, request, now);
    if (known == nullptr)
        return;
    known->lastArrivalAt = now;
    decayCounts(*known, now);
    known->recentArrivals += 1;
}

void recordClassEnd(gateway_node& self, const pending_request& request, bool served, state::time_point now)
{
    auto* const known = findIn(self.services[request.service].classes, request);
    if (known == nullptr)
        return;
    decayCounts(*known, now);
    (served ? known->recentServed : known->recentRefused) += 1;
}

double arrivalsPerSecond(const request_class& known, state::time_point now) noexcept
{
    return known.recentArrivals * remainingShare(known, now)
        / std::chrono::duration<double>(classCountDecayTime).count();
}

void recordServiceTime(gateway_node& self, const pending_request& request, state::duration serviceTime)
{
    const auto typical = typicalServiceTime(self, request);
    auto& activity = self.services[request.service];
    updateAverage(activity.typicalServiceTime, typical, serviceTime);
    if (findIn(activity.classes, request) == nullptr)
        updateAverage(activity.serviceTimes[request.matched->objective].typical, typical, serviceTime);
}

void recordClassResponse(
    gateway_node& self, const pending_request& request, state::duration took, state::duration serviceTime)
{
    auto* const known = findIn(self.services[request.service].classes, request);
    if (known == nullptr)
        return;
    const auto typical = typicalServiceTime(self, request);
    const auto longest = std::chrono::duration_cast<state::duration>(typical * maxServiceTimeFactor);
    known->responses = std::min(known->responses + 1, maxResponses);
    // The assumption counts like one response.
    const auto weight = static_cast<state::duration::rep>(known->responses) + 1;
    known->typicalServiceTime = typical + (std::min(serviceTime, longest) - typical) / weight;
    recordLatency(known->durations, took);
}

const request_class* findClass(const gateway_node& self, const pending_request& request) noexcept
{
    const auto service = self.services.find(request.service);
    return service == self.services.end() ? nullptr : findIn(service->second.classes, request);
}

state::gateway::service_time_trials& findTrials(gateway_node& self, const pending_request& request)
{
    auto& activity = self.services[request.service];
    auto* const known = findIn(activity.classes, request);
    return known != nullptr ? known->trials : activity.serviceTimes[request.matched->objective].trials;
}

state::duration typicalServiceTime(const gateway_node& self, const pending_request& request) noexcept
{
    if (const auto learned = learnedServiceTime(self, request))
        return *learned;
    return std::chrono::duration_cast<state::duration>(request.matched->objective * assumedServiceTimeShare);
}

state::duration typicalServiceTime(const request_class& known) noexcept
{
    return known.typicalServiceTime.value_or(
        std::chrono::duration_cast<state::duration>(known.objective * assumedServiceTimeShare));
}

std::optional<state::duration> learnedServiceTime(const gateway_node& self, const pending_request& request) noexcept
{
    if (const auto* known = findClass(self, request))
        return known->typicalServiceTime;
    const auto service = self.services.find(request.service);
    if (service == self.services.end())
        return std::nullopt;
    const auto& activity = service->second;
    const auto known = activity.serviceTimes.find(request.matched->objective);
    if (known != activity.serviceTimes.end() && known->second.typical)
        return known->second.typical;
    // If objectives differ, the average over the service describes mostly requests of other routes.
    return activity.hasSeveralObjectives ? std::nullopt : activity.typicalServiceTime;
}

} // namespace acaciaslip::coordination::gateway
