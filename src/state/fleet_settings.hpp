#pragma once

#include "state/enum_names.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace acaciaslip::state {

/// Which requests of a service are idempotent, so that they may be retried and hedged.
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

/// Settings of one service as published by its team, with templates expanded.
struct service_settings {
    service_name name;
    std::string pathPrefix;
    std::string host; ///< Host header to match; empty: any
    std::uint32_t slots = 4; ///< requests that one server processes concurrently
    std::uint32_t connections = 200; ///< maximum connections to one server from all entry hosts together
    idempotency idempotent = idempotency::by_method;
    duration timeout = std::chrono::seconds { 2 };
    bool hedge = false;
    double probesPerSecond = 2; ///< per server, from all entry hosts together
    std::uint32_t maxWaiting = 64; ///< maximum length of the request queue of one node
    duration wait = std::chrono::milliseconds { 500 }; ///< maximum time that a request waits for a server
    double retryShare = 0.1; ///< retry budget as a fraction of requests
    double hedgeShare = 0.05; ///< hedge budget as a fraction of requests

    [[nodiscard]] bool operator==(const service_settings&) const = default;
};

/// Role of a listed host.
enum class host_kind { server, entry };

inline constexpr std::array<enum_name<host_kind>, 2> hostKindNames { {
    { host_kind::server, "server" },
    { host_kind::entry, "entry" },
} };

/// Whether a host is in the platform's host list and may receive new requests.
enum class host_listing {
    absent, ///< not in the list
    live, ///< may receive new requests
    leaving, ///< receives no new requests
};

inline constexpr std::array<enum_name<host_listing>, 3> hostListingNames { {
    { host_listing::absent, "absent" },
    { host_listing::live, "live" },
    { host_listing::leaving, "leaving" },
} };

/// One host of the platform's host list. The list may be out of date.
struct host_record {
    host_id id;
    std::string address; ///< "ip:port" for requests to this host
    data_centre_id dataCentre;
    host_kind kind = host_kind::server;
    service_name service; ///< for servers: the service that the server belongs to
    host_listing listing = host_listing::live;
    std::string peerAddress; ///< for entry hosts: "ip:port", UDP and TCP

    [[nodiscard]] bool operator==(const host_record&) const = default;
};

/// All published settings after validation.
struct fleet_settings {
    std::vector<service_settings> services;
    std::vector<data_centre_id> evacuatedDataCentres; ///< evacuated data centres, which receive no requests
    std::vector<host_record> hosts;
    /// From the index: keys of the other values and their newest published revisions.
    std::map<value_key, revision> indexedRevisions;
};

} // namespace acaciaslip::state
