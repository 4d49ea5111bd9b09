#pragma once

#include "coordination/forward_declarations.hpp"
#include "coordination/gateway/cold_admission.hpp"
#include "coordination/gateway/effects.hpp"
#include "coordination/gateway/events.hpp"
#include "coordination/gateway/retry_allowance.hpp"
#include "coordination/gateway/settings.hpp"
#include "coordination/gateway/split_choice.hpp"
#include "state/duration_histogram.hpp"
#include "state/gateway/peer_heartbeat.hpp"
#include "state/gateway/pending_request.hpp"
#include "state/gateway/published_fleet.hpp"
#include "state/gateway/server_state.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace acaciaslip::coordination::gateway {

/// The stages of a node's life.
enum class node_phase {
    starting, ///< no configuration yet
    serving,
    leaving, ///< says that it is not ready; still takes work
    draining, ///< takes no new work; finishes what is in progress
    stopped,
};

inline constexpr std::array<state::enum_name<node_phase>, 5> nodePhaseNames { {
    { node_phase::starting, "starting" },
    { node_phase::serving, "serving" },
    { node_phase::leaving, "leaving" },
    { node_phase::draining, "draining" },
    { node_phase::stopped, "stopped" },
} };

/// What a node knows of one service beside its description.
struct service_memory {
    std::vector<state::host_id> members; ///< every registered server
    std::optional<state::duration> typicalWork; ///< on an undisturbed server; learnt
    retry_allowance repeats;
};

/// What a node has counted since it started. Read by the metrics and the dump.
struct node_counters {
    std::map<state::verdict, std::uint64_t> requestsByVerdict;
    std::map<state::verdict, state::duration_histogram> durationByVerdict; ///< from arrival to outcome
    std::map<state::refusal_reason, std::uint64_t> refusals;
    std::map<state::attempt_outcome, std::uint64_t> attemptsByOutcome;
    std::map<ask_outcome, std::uint64_t> asksByOutcome;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t repeatsDenied = 0; ///< by the retry budget
    std::uint64_t callersGone = 0;
    std::uint64_t deltasApplied = 0;
    std::uint64_t storeLosses = 0;
};

/// How far the gossip between hosts has come.
struct membership_state {
    state::time_point startedAt;
    state::time_point nextGossipAt;
    std::uint64_t intervals = 0; ///< of gossip, since the start
    state::time_point mostHostsAt; ///< when the count that the budgets rest on was last reached
    bool counted = false; ///< somebody has answered since the start
    bool saidFarewell = false;
};

/// This node's part in reading the store.
struct store_duty {
    bool follows = false;
    state::time_point nextStepAt;
    std::optional<state::time_point> coveredSince; ///< others follow in this node's place
};

/// Fetches from peers.
struct relay_state {
    std::optional<state::time_point> fetchAt; ///< somebody knows more
    std::optional<state::time_point> fetchEndsAt; ///< of the fetch under way
};

/// Until the hosts are counted, budgets are shared with as many as a large fleet has.
inline constexpr std::uint32_t hostsWhenUnknown = 64;

/// One whole node: plain data, changed only by `handle`.
struct gateway_node {
    node_settings settings;
    host_share share { hostsWhenUnknown, 0 }; ///< this host's part in the fleet's budgets
    std::map<state::gateway::peer_ip, state::gateway::peer_state> peers; ///< every other host
    membership_state membership;
    store_duty duty;
    relay_state relay;
    node_phase phase = node_phase::starting;
    state::time_point phaseSince;

    state::gateway::published_fleet published;
    std::shared_ptr<const state::gateway::configuration> config; ///< in force; null before the first
    std::optional<state::time_point> storeLostAt; ///< set while the store does not answer
    state::time_point storeUnsettledUntil; ///< until then, entries may have lapsed only because the store was away
    std::unordered_map<state::host_id, state::gateway::server_state> servers;
    std::map<std::string, service_memory, std::less<>> services;
    std::map<std::string, split_balance> splits; ///< by route

    std::unordered_map<std::uint64_t, state::gateway::pending_request> requests; ///< by request id
    std::unordered_map<std::uint64_t, state::request_id> asks; ///< by ask id
    std::unordered_map<std::uint64_t, std::pair<state::request_id, state::host_id>> attempts; ///< by attempt id
    std::set<std::pair<state::time_point, std::uint64_t>> due; ///< every request in progress, once
    std::uint64_t nextAsk = 1;
    std::uint64_t nextAttempt = 1;
    node_counters counters;
};

/// Makes a node that has seen nothing yet.
[[nodiscard]] gateway_node makeNode(node_settings settings, state::time_point now);

/// The one door: takes an event, changes the node and says what is to be done.
/// \param now the time at which the event is handled; never goes back
/// \param random draws every random choice
/// \param effects what is to be done is added at its end
void handle(
    gateway_node& self, const event& happened, state::time_point now, random_generator& random, effect_list& effects);

/// When the node next wants `timer_expired`; nothing while only events from outside matter.
[[nodiscard]] std::optional<state::time_point> nextWakeUp(const gateway_node& self) noexcept;

/// Whether the platform's balancer may give this node new connections.
[[nodiscard]] bool isReady(const gateway_node& self) noexcept;

} // namespace acaciaslip::coordination::gateway
