#include "protocol/gateway_codec/fleet.hpp"

#include "protocol/gateway_codec/configuration.hpp"
#include "protocol/gateway_codec/numbers.hpp"

namespace acaciaslip::protocol::gateway_codec {

namespace wire = gateway_wire;
namespace fleet = state::gateway;

namespace {

wire::revised_server toWire(const state::host_id& id, const fleet::versioned<fleet::server_entry>& item)
{
    wire::revised_server wireStruct;
    wireStruct.id = id;
    wireStruct.number = static_cast<std::int64_t>(item.revisionNumber);
    if (!item.value)
        return wireStruct;
    wire::server_entry entry;
    entry.serviceName = item.value->service;
    entry.address = item.value->address;
    entry.dataCentre = item.value->dataCentre;
    entry.slots = toSigned(item.value->slots);
    entry.draining = item.value->draining;
    entry.coldLeft = toMicroseconds(item.value->coldRemaining);
    entry.startedAtUnixMs = item.value->startedAtUnixMs;
    wireStruct.__set_entry(entry);
    return wireStruct;
}

fleet::versioned<fleet::server_entry> fromWire(const wire::revised_server& wireStruct)
{
    fleet::versioned<fleet::server_entry> item { checked<state::revision>(wireStruct.number), std::nullopt };
    if (!wireStruct.__isset.entry)
        return item;
    const auto& entry = wireStruct.entry;
    item.value = { wireStruct.id, entry.serviceName, entry.address, entry.dataCentre, toUnsigned(entry.slots),
        entry.draining, toDuration(entry.coldLeft), entry.startedAtUnixMs };
    return item;
}

} // namespace

wire::fleet_delta toWire(const fleet::fleet_delta& delta)
{
    wire::fleet_delta wireStruct;
    wireStruct.snapshot = delta.snapshot;
    wireStruct.after = static_cast<std::int64_t>(delta.after);
    wireStruct.asOf = static_cast<std::int64_t>(delta.changes.asOf);
    if (delta.changes.config.value) {
        wireStruct.__set_configNumber(static_cast<std::int64_t>(delta.changes.config.revisionNumber));
        wireStruct.__set_config(toWire(*delta.changes.config.value));
    }
    if (delta.configChanges)
        wireStruct.__set_configChanges(toWire(*delta.configChanges));
    for (const auto& [id, item] : delta.changes.servers)
        wireStruct.servers.push_back(toWire(id, item));
    for (const auto& [dataCentre, item] : delta.changes.evacuations) {
        auto& added = wireStruct.evacuations.emplace_back();
        added.dataCentre = dataCentre;
        added.number = static_cast<std::int64_t>(item.revisionNumber);
        added.evacuated = item.value.has_value();
    }
    return wireStruct;
}

fleet::fleet_delta fromWire(const wire::fleet_delta& wireStruct)
{
    fleet::fleet_delta delta;
    delta.snapshot = wireStruct.snapshot;
    delta.after = checked<state::revision>(wireStruct.after);
    delta.changes.asOf = checked<state::revision>(wireStruct.asOf);
    if (wireStruct.__isset.config && wireStruct.__isset.configNumber)
        delta.changes.config = { checked<state::revision>(wireStruct.configNumber), fromWire(wireStruct.config), {},
            wireStruct.config.__isset.teams };
    if (wireStruct.__isset.configChanges)
        delta.configChanges = fromWire(wireStruct.configChanges);
    for (const auto& server : wireStruct.servers)
        delta.changes.servers[server.id] = fromWire(server);
    for (const auto& evacuation : wireStruct.evacuations) {
        auto& item = delta.changes.evacuations[evacuation.dataCentre];
        item.revisionNumber = checked<state::revision>(evacuation.number);
        item.value = evacuation.evacuated ? std::optional(fleet::evacuation {}) : std::nullopt;
    }
    return delta;
}

} // namespace acaciaslip::protocol::gateway_codec
