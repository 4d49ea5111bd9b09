#pragma once

#include "coordination/gateway/node.hpp"

#include <optional>
#include <string>
#include <vector>

namespace acaciaslip::coordination::gateway {

/// What hosts tell each other of requests that end servers; see `crash_suspects.hpp` for what follows from it. A crash
/// is reported to a few keepers in each data centre, chosen by a hash of the request, so that every host reports to the
/// same ones without telling all hosts of every crash. A keeper tells the hosts of its data centre when a request has
/// become lethal or has ceased to be. Hosts that miss it, or start later, learn it from a sample in heartbeats.

/// Records that a server ended while it ran a request of this host.
void recordCrash(gateway_node& self, const state::host_id& server, const crash_check::run& run, state::time_point now,
    effect_list& effects);

/// Records that a server has answered a request, which therefore does not end servers.
void recordRequestAnswered(
    gateway_node& self, const state::gateway::request_digests& request, state::time_point now, effect_list& effects);

/// Adopts the reports in another host's heartbeat.
void adoptReports(gateway_node& self, const std::vector<state::gateway::crash_report>& reports, state::time_point now,
    effect_list& effects);

/// A sample of the suspects for a heartbeat; those that are refused first.
[[nodiscard]] std::vector<state::gateway::crash_report> sampleSuspects(
    const gateway_node& self, random_generator& random);

/// Which of a request's digests is refused, so that the request must not be sent to servers; the exact one first.
/// \return empty if neither is
[[nodiscard]] std::optional<state::gateway::request_digest> findLethal(
    const gateway_node& self, const state::gateway::request_digests& request, state::time_point now);

/// Records another arrival of a lethal request, which extends the time for which it is refused.
/// \return whether it is to be sent once, as a trial
bool recordLethalArrival(gateway_node& self, const state::gateway::request_digests& request, state::time_point now);

/// Servers that a suspect has ended, separated by commas, for the log.
[[nodiscard]] std::string describeEndedServers(const gateway_node& self, const state::gateway::request_digest& request);

/// Removes suspects that have not been seen for a long time.
void expireSuspects(gateway_node& self, state::time_point now);

} // namespace acaciaslip::coordination::gateway
