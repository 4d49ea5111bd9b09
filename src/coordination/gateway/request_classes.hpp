#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Pattern: requests of 100 ms with an objective of 250 ms and requests of 640 ms with an objective of 3 s share the
/// servers of one service.
///
/// With one service time for the whole service, the short requests always appear to be too late and the long ones
/// always in time. In a service with more than one priority, the service time is therefore learned for each class.
/// Services with one priority have no classes; for them, it is learned for each latency objective.

/// Upper bound of the classes of one service. Requests of further classes use the service time of their objective.
inline constexpr std::size_t maxRequestClasses = 16;

/// The counts of a class decay to 1/e in this time. It is shorter than the memory of reported demand, and long enough
/// for a few requests of a class at each of 100 hosts.
inline constexpr state::duration classCountDecayTime = std::chrono::seconds { 5 };

/// Determines which services have more than one priority among their routes and teams, or more than one objective, and
/// removes classes and service times that are no longer used. Call this when the configuration has changed.
void updateRequestClasses(gateway_node& self);

/// Records the arrival of a request, and adds its class if it is new.
void recordClassArrival(gateway_node& self, const state::gateway::pending_request& request, state::time_point now);

/// Updates the typical service time of requests like this one with one response.
/// \param serviceTime duration of the response without the share caused by the server's slowdown and queue
void recordServiceTime(gateway_node& self, const state::gateway::pending_request& request, state::duration serviceTime);

/// Records a response to a request that has a class.
/// \param took from the send to the response
/// \param serviceTime the part of `took` that is not due to the server's slowdown and queue
void recordClassResponse(gateway_node& self, const state::gateway::pending_request& request, state::duration took,
    state::duration serviceTime);

/// Records that a request has ended.
/// \param served it was answered with a server's response
void recordClassEnd(
    gateway_node& self, const state::gateway::pending_request& request, bool served, state::time_point now);

/// Rate at which requests of a class have arrived at this host in the last seconds.
[[nodiscard]] double arrivalsPerSecond(const state::gateway::request_class& known, state::time_point now) noexcept;

/// Finds a request's class.
/// \return the class; null if the service has only one priority or too many classes
[[nodiscard]] const state::gateway::request_class* findClass(
    const gateway_node& self, const state::gateway::pending_request& request) noexcept;

/// Finds the trials that a request counts towards: those of its class if it has one, otherwise those of its objective.
[[nodiscard]] state::gateway::service_time_trials& findTrials(
    gateway_node& self, const state::gateway::pending_request& request);

/// Typical service time of requests like this one on a server without interference: that of its class if it has one,
/// otherwise that of the service's requests with its objective.
[[nodiscard]] state::duration typicalServiceTime(
    const gateway_node& self, const state::gateway::pending_request& request) noexcept;

/// Typical service time of a class, with an assumption before any response was seen.
[[nodiscard]] state::duration typicalServiceTime(const state::gateway::request_class& known) noexcept;

/// Typical service time of requests like this one, if responses have shown it.
/// \return empty until it has been learned from a response
[[nodiscard]] std::optional<state::duration> learnedServiceTime(
    const gateway_node& self, const state::gateway::pending_request& request) noexcept;

} // namespace acaciaslip::coordination::gateway
