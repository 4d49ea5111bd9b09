#include "fuzz/samples.hpp"

#include "protocol/gateway_peer_codec.hpp"
#include "protocol/peer_codec.hpp"

namespace acaciaslip::fuzz {

state::gateway::fleet_delta sampleDelta()
{
    using namespace std::chrono_literals;
    state::gateway::fleet_delta delta { true, 0, {} };
    delta.changes.asOf = 9;
    auto& config = delta.changes.config.value.emplace();
    delta.changes.config.revisionNumber = 1;
    config.version = 3;
    config.routes
        = { { "r", "x", "/", state::gateway::request_kind::idempotent, 600ms, 1200ms, 2, 1, { { "a", 1 } } } };
    config.services = { { "a", "/health", 100, 3s, 3.4 } };
    config.teams = { { "t-1", { "k-1", "k-2" }, 1, 12.5, 40 }, { "t-2", { "k-3" }, {}, 0, 0 } };
    auto& changes = delta.configChanges.emplace();
    changes.revisionNumber = 6;
    changes.version = 4;
    changes.routes = config.routes;
    changes.removedRoutes = { { "x", "/gone/" } };
    changes.services = config.services;
    changes.teams = config.teams;
    changes.removedTeams = { "t-3" };
    delta.changes.servers["s1"]
        = { 2, state::gateway::server_entry { "s1", "a", "10.1.0.1:80", "a", 4, false, {}, 1 } };
    delta.changes.servers["s2"] = { 4, std::nullopt };
    delta.changes.evacuations["a"] = { 5, state::gateway::evacuation {} };
    return delta;
}

std::string sampleHeartbeat()
{
    using namespace std::chrono_literals;
    state::gateway::peer_heartbeat heartbeat;
    heartbeat.sender = "10.0.0.9";
    heartbeat.dataCentre = "a";
    heartbeat.store = state::gateway::store_access::answers;
    heartbeat.asOf = 9;
    heartbeat.fleetTime = state::time_point { 7h };
    heartbeat.peers = { { "10.0.0.7", "b", 1500ms }, { "10.0.0.8", "a", 300ms } };
    heartbeat.limits = { { "s1", 1.5, state::time_point { 6h } }, { "s2", std::nullopt, state::time_point { 5h } } };
    heartbeat.delta = sampleDelta();
    return protocol::encodeHeartbeat(heartbeat).value_or("");
}

std::string sampleNodeMessage()
{
    state::peer_message message;
    message.sender = "entry-1";
    return protocol::encodeDatagram(message).value_or("");
}

} // namespace acaciaslip::fuzz
