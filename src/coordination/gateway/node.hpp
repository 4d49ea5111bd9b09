#pragma once

#include "coordination/forward_declarations.hpp"
#include "coordination/gateway/allowance_state.hpp"
#include "coordination/gateway/effects.hpp"
#include "coordination/gateway/events.hpp"
#include "coordination/gateway/request_slots.hpp"
#include "coordination/gateway/retry_budget.hpp"
#include "coordination/gateway/settings.hpp"
#include "coordination/gateway/shared_crashes.hpp"
#include "coordination/gateway/team_keys.hpp"
#include "coordination/gateway/traffic_split.hpp"
#include "state/duration_histogram.hpp"
#include "state/gateway/peer_heartbeat.hpp"
#include "state/gateway/pending_request.hpp"
#include "state/gateway/published_fleet.hpp"
#include "state/gateway/request_class.hpp"
#include "state/gateway/server_state.hpp"
#include "state/gateway/service_time.hpp"

#include <cstdint>
#include <deque>
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

/// Lifecycle phases of a node.
enum class node_phase {
    starting, ///< no configuration yet
    serving,
    leaving, ///< reports itself as not ready; still accepts requests
    draining, ///< accepts no new requests; finishes those in progress
    stopped,
};

inline constexpr std::array<state::enum_name<node_phase>, 5> nodePhaseNames { {
    { node_phase::starting, "starting" },
    { node_phase::serving, "serving" },
    { node_phase::leaving, "leaving" },
    { node_phase::draining, "draining" },
    { node_phase::stopped, "stopped" },
} };

/// State of one service beyond its configuration.
struct service_activity {
    std::vector<state::host_id> members; ///< every registered server
    /// Typical service time on an otherwise idle machine, as a moving average over the responses to all requests.
    std::optional<state::duration> typicalServiceTime;
    bool hasSeveralObjectives = false; ///< its routes have different latency objectives
    /// Service times by latency objective, learned from the responses to requests that belong to no class.
    std::map<state::duration, state::gateway::service_time> serviceTimes;
    retry_budget retryBudget;
    bool hasPriorities = false; ///< more than one priority occurs among its routes and teams
    /// Only if it has priorities; see `request_classes.hpp`.
    std::vector<state::gateway::request_class> classes;
    /// Requests of this host that wait for a server, in the order in which they are sent; see `waiting_order.hpp`.
    std::set<state::gateway::waiting_position> waiting;
};

/// How a trial ended; see `service_time_trials.hpp`.
enum class trial_outcome {
    served, ///< a server answered before the deadline
    failed, ///< no answer before the deadline; a server may have executed the request
    not_run, ///< no server executed the request, so the trial shows nothing
};

inline constexpr std::array<state::enum_name<trial_outcome>, 3> trialOutcomeNames { {
    { trial_outcome::served, "served" },
    { trial_outcome::failed, "failed" },
    { trial_outcome::not_run, "not_run" },
} };

/// Counters since the node started. Exported by the metrics and the dump.
struct node_counters {
    std::map<state::verdict, std::uint64_t> requestsByVerdict;
    std::map<state::verdict, state::duration_histogram> durationByVerdict; ///< time from arrival to outcome
    std::map<state::refusal_reason, std::uint64_t> refusals;
    std::map<state::attempt_outcome, std::uint64_t> attemptsByOutcome;
    std::map<probe_outcome, std::uint64_t> probesByOutcome;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retriesDenied = 0; ///< retries and hedges denied by the retry budget
    std::map<trial_outcome, std::uint64_t> serviceTimeTrials;
    std::uint64_t callersDisconnected = 0;
    std::uint64_t serverCrashes = 0; ///< servers that ended while they ran requests of this host
    std::uint64_t backOffsNamed = 0; ///< times a server asked this host to send it nothing for a while
    std::uint64_t backOffsUnreadable = 0; ///< likewise, with a time that is malformed or out of range
    std::uint64_t deltasApplied = 0;
    std::uint64_t storeLosses = 0;
    std::uint64_t storeRestorations = 0; ///< times the store was restored from a copy
    std::map<fetch_outcome, std::uint64_t> fetchesByOutcome;
    std::uint64_t fetchedBytes = 0;
    std::uint64_t fetchesServed = 0; ///< large answers to other hosts
    std::uint64_t fetchesRedirected = 0; ///< other hosts that were told to ask a third one
    std::uint64_t storeSearches = 0; ///< times this node asked the store because it answered no watcher
};

/// State of the gossip between hosts.
struct membership_state {
    state::time_point startedAt;
    state::time_point nextGossipAt;
    std::uint64_t gossipRounds = 0; ///< gossip rounds since the start
    state::time_point peakCountAt; ///< when the number of known hosts was last at least `share.hosts`
    bool hostsCounted = false; ///< at least one host has answered since the start
    bool leaveAnnounced = false;
    std::string loggedCounts; ///< hosts by data centre in the latest log line
};

/// Whether this node watches the store for its data centre.
struct store_watch {
    bool watching = false;
    bool answered = false; ///< the store has answered since this node began to watch it, and has not been lost
    bool searching = false; ///< asks the store without announcing it, because no watcher has an answer
    std::optional<state::time_point> searchAt; ///< next search; empty while a watcher has an answer
    state::time_point nextStepAt;
    /// Time since which other hosts watch the store, so that this node need not.
    std::optional<state::time_point> redundantSince;
};

/// State of fetches from peers.
struct fetch_state {
    std::optional<state::time_point> fetchAt; ///< when to fetch: a peer has a newer revision
    state::gateway::peer_ip source; ///< peer of the fetch in progress; empty: there is none
    state::time_point startedAt; ///< of the fetch in progress
    std::uint32_t redirections = 0; ///< of the fetch in progress
    bool needsWhole = false; ///< changes of the configuration could not be applied
    state::gateway::peer_ip failedSource; ///< peer of the latest fetch if it brought nothing
    std::optional<state::time_point> unreadableSince; ///< start of a series of answers that could not be decoded
    state::time_point lastUnreadableAt; ///< the latest of them
};

/// Requests whose connections to one server broke off, until it is known whether the server has ended; see
/// `crash_detection.hpp`.
struct crash_check {
    struct run {
        state::gateway::request_digests request;
        std::string callerRequestId;
        state::time_point startedAt;
        state::time_point endedAt;
    };
    std::vector<run> runs;
    state::gateway::probe_id probe {}; ///< the latest one
    std::uint32_t probes = 0;
};

/// Fetches of other hosts from this one; see `fleet_serving.hpp`.
struct fleet_serving {
    struct fetcher {
        state::gateway::fetch_id id {};
        state::gateway::peer_ip ip;
        state::revision after = 0;
        bool readsChanges = true;
    };
    struct transfer {
        state::gateway::peer_ip ip;
        state::time_point startedAt;
    };
    std::deque<fetcher> waiting; ///< in the order in which they have asked
    std::map<state::gateway::fetch_id, transfer> transfers; ///< large answers that are being sent
    state::time_point steppedAt; ///< latest `processServing`
};

/// What was known before the store was restored from a copy, and holds for a while; see `store_restoration.hpp`.
struct store_restoration {
    struct departure {
        std::int64_t startedAtUnixMs = 0;
        state::time_point at;
    };
    std::optional<state::time_point> endsAt; ///< end of the time in which stale items of the copy are ignored
    state::revision copyAsOf = 0; ///< first revision known in the new era
    std::set<state::data_centre_id> evacuated; ///< when the store was restored
    std::map<state::host_id, departure> departures; ///< recently unregistered servers, by id
};

/// Until the number of hosts is known, budgets are divided by the size of a large fleet.
inline constexpr std::uint32_t assumedHosts = 64;

/// State of the clock that all hosts share; see `fleet_clock.hpp`.
struct fleet_clock {
    std::optional<state::duration> offset; ///< to the node's own clock; empty until the fleet's time is known
};

/// Complete state of one node: plain data, modified only by `handle`.
struct gateway_node {
    node_settings settings;
    host_share share { assumedHosts, 0 }; ///< this host's share of the fleet's budgets
    std::map<state::gateway::peer_ip, state::gateway::peer_state> peers; ///< every other known host
    membership_state membership;
    fleet_clock clock;
    store_watch storeWatch;
    fetch_state fetch;
    fleet_serving serving;
    node_phase phase = node_phase::starting;
    state::time_point phaseSince;
    std::optional<state::time_point> killedAt; ///< when the platform sends SIGKILL; set by a shutdown

    state::gateway::published_fleet published;
    /// Configuration in use; null until the first one is read.
    std::shared_ptr<const state::gateway::configuration> config;
    team_keys teamKeys; ///< of `config`
    state::time_point configAppliedAt; ///< when `config` came into force
    /// When the store, directly or through peers, last told that there is nothing newer than is known here.
    std::optional<state::time_point> storeNewsAt;
    state::time_point storeNewsSharedAt; ///< when other data centres were last told
    store_restoration restoration;
    std::optional<state::time_point> storeLostAt; ///< set while the store does not respond
    /// Until then, missing entries may have expired only because the store was unavailable.
    state::time_point storeRecoveringUntil;
    std::unordered_map<state::host_id, state::gateway::server_state> servers;
    std::map<std::string, service_activity, std::less<>> services;
    std::map<std::string, split_balance> splits; ///< by route

    std::unordered_map<std::uint64_t, state::gateway::pending_request> requests; ///< by request id
    std::unordered_map<std::uint64_t, state::request_id> probes; ///< by probe id
    std::map<state::host_id, crash_check> crashChecks; ///< by server
    ended_servers endedServers; ///< lately
    suspect_table suspects; ///< requests during which servers ended
    answered_requests answered; ///< by exact digest; times in node time
    answered_requests answeredAnyQuery; ///< likewise, by the digest without the query
    std::unordered_map<std::uint64_t, std::pair<state::request_id, state::host_id>> attempts; ///< by attempt id
    allowance_state allowances; ///< of teams
    std::set<std::pair<state::time_point, std::uint64_t>> due; ///< one entry for every request in progress
    std::uint64_t nextProbe = 1;
    std::uint64_t nextAttempt = 1;
    node_counters counters;
};

/// Creates a node that has handled no events.
[[nodiscard]] gateway_node makeNode(node_settings settings, state::time_point now);

/// The only entry point: handles an event, updates the node and appends the effects to carry out.
/// \param now the time at which the event is handled; never decreases
/// \param random source of every random choice
/// \param effects receives the effects, appended at its end
void handle(
    gateway_node& self, const event& happened, state::time_point now, random_generator& random, effect_list& effects);

/// When the node next needs `timer_expired`; empty while only external events matter.
[[nodiscard]] std::optional<state::time_point> nextWakeUp(const gateway_node& self) noexcept;

/// Whether the platform's load balancer may send new connections to this node.
[[nodiscard]] bool isReady(const gateway_node& self) noexcept;

} // namespace acaciaslip::coordination::gateway
