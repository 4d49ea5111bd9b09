#include "protocol/dump.hpp"

namespace acaciaslip::protocol {

namespace {

nlohmann::json describeServer(const coordination::node& node, const state::server_record& server, state::time_point now)
{
    return {
        { "address", server.address },
        { "data_centre", server.dataCentre },
        { "service", node.fleet.services[server.service].settings.name.name },
        { "listing", state::findName(state::hostListingNames, server.listing) },
        { "data_centre_out", server.dataCentreOut },
        { "condition", state::findName(state::serverConditionNames, server.condition) },
        { "reason", server.conditionReason },
        { "condition_age_ms", state::toMilliseconds(now - server.conditionSince) },
        { "in_flight", server.ownInFlight },
        { "latency_ms", state::toMilliseconds(server.load.latency) },
        { "probes_spent", server.probesSpent },
    };
}

nlohmann::json describeValue(const state::value_record& value, state::time_point now)
{
    nlohmann::json described {
        { "revision", value.inForce.number },
        { "source", state::findName(state::valueSourceNames, value.inForce.source) },
        { "age_ms", state::toMilliseconds(now - value.inForce.receivedAt) },
    };
    if (value.refused)
        described["refused"] = { { "revision", value.refused->number }, { "why", value.refusedBecause } };
    return described;
}

} // namespace

nlohmann::json describeNode(const coordination::node& node, state::time_point now)
{
    nlohmann::json described {
        { "id", node.settings.id },
        { "data_centre", node.settings.dataCentre },
        { "incarnation", node.incarnation },
        { "phase", state::findName(coordination::nodePhaseNames, node.phase) },
        { "requests_in_progress", node.requests.requests.size() },
    };
    for (const auto& server : node.fleet.servers)
        described["servers"][server.id] = describeServer(node, server, now);
    for (const auto& [key, value] : node.values)
        described["values"][key] = describeValue(value, now);
    return described;
}

} // namespace acaciaslip::protocol
