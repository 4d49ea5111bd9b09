#pragma once

#include "state/identifiers.hpp"

#include <map>
#include <string>

namespace acaciaslip::protocol {

/// Returns a complete, valid set of published values.
inline std::map<state::value_key, std::string> makeValidBodies()
{
    return {
        { "acaciaslip/index", "values:\n  acaciaslip/teams/kierdicht: 3\n  acaciaslip/hosts: 7\n" },
        { "acaciaslip/templates",
            "booking:\n"
            "  parameters: [name, path, {slots: 4}]\n"
            "  service: {name: $name, path_prefix: $path, slots: $slots, idempotent: never, hedge: off}\n"
            "lookup:\n"
            "  parameters: [name, path]\n"
            "  service: {name: $name, path_prefix: $path, timeout_ms: 800, hedge: on, hedge_share: 0.02}\n" },
        { "acaciaslip/data_centres", "out: [dc-b]\n" },
        { "acaciaslip/hosts",
            "- {id: b1, address: '10.0.0.1:80', data_centre: dc-a, kind: server, team: kierdicht, service: bookings}\n"
            "- {id: e1, data_centre: dc-a, kind: entry, state: leaving, peer_address: '10.0.0.9:7400'}\n" },
        { "acaciaslip/teams/kierdicht",
            "team: kierdicht\n"
            "services:\n"
            "  - {use: booking, with: {name: bookings, path: /bookings}}\n"
            "  - {use: lookup, with: {name: routes, path: /routes}}\n" },
    };
}

/// Returns a complete, valid node.yaml.
inline std::string makeValidNodeText()
{
    return "id: entry-a1\n"
           "data_centre: dc-a\n"
           "callers: 127.0.0.1:8080\n"
           "peers: 127.0.0.1:7400\n"
           "operators: 127.0.0.1:9090\n"
           "platform: ['127.0.0.1:8500']\n";
}

} // namespace acaciaslip::protocol
