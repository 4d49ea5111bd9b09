#pragma once

#include "state/enum_names.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace acaciaslip::state {

/// Which requests of a service may be sent twice.
enum class idempotency {
    by_method, ///< GET, HEAD, PUT, DELETE and OPTIONS
    always,
    never,
};

inline constexpr std::array<enum_name<idempotency>, 3> idempotencyNames { {
    { idempotency::by_method, "by_method" },
    { idempotency::always, "always" },
    { idempotency::never, "never" },
} };

/// One service as its team's settings describe it, templates expanded.
struct service_settings {
    service_name name;
    std::string pathPrefix;
    std::string host; ///< empty: any
    std::uint32_t slots = 4; ///< requests one server runs at a time
    std::uint32_t connections = 200; ///< connections one server bears, over all entry hosts
    idempotency idempotent = idempotency::by_method;
    duration timeout = std::chrono::seconds { 2 };
    bool hedge = false;
    double probesPerSecond = 2; ///< per server, over all entry hosts together
    std::uint32_t maxWaiting = 64; ///< requests that may wait at one node
    duration wait = std::chrono::milliseconds { 500 }; ///< the longest wait for a server
    double retryShare = 0.1; ///< retries as a share of requests
    double hedgeShare = 0.05; ///< hedges as a share of requests

    [[nodiscard]] bool operator==(const service_settings&) const = default;
};

/// What a listed host is for.
enum class host_kind { server, entry };

inline constexpr std::array<enum_name<host_kind>, 2> hostKindNames { {
    { host_kind::server, "server" },
    { host_kind::entry, "entry" },
} };

/// Whether a host is in the list and may take new work.
enum class host_listing {
    absent, ///< not in the list
    live,
    leaving,
};

inline constexpr std::array<enum_name<host_listing>, 3> hostListingNames { {
    { host_listing::absent, "absent" },
    { host_listing::live, "live" },
    { host_listing::leaving, "leaving" },
} };

/// One host of the platform's lagging list.
struct host_record {
    host_id id;
    std::string address; ///< "ip:port" for callers of this host
    data_centre_id dataCentre;
    host_kind kind = host_kind::server;
    service_name service; ///< for servers: whom it serves
    host_listing listing = host_listing::live;
    std::string peerAddress; ///< for entry hosts: "ip:port", UDP and TCP

    [[nodiscard]] bool operator==(const host_record&) const = default;
};

/// Everything that is published, read and checked: what is in force.
struct fleet_settings {
    std::vector<service_settings> services;
    std::vector<data_centre_id> dataCentresOut;
    std::vector<host_record> hosts;
    std::map<value_key, revision> indexed; ///< every other value and its newest published revision
};

} // namespace acaciaslip::state
