#pragma once

#include "state/enum_names.hpp"
#include "state/gateway/team.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace acaciaslip::state::gateway {

/// Whether a route's requests may run more than once.
enum class request_kind { idempotent, non_idempotent };

inline constexpr std::array<enum_name<request_kind>, 2> requestKindNames { {
    { request_kind::idempotent, "idempotent" },
    { request_kind::non_idempotent, "non_idempotent" },
} };

/// A service that receives part of a route's requests.
struct split_part {
    std::string service;
    std::uint32_t weight = 1; ///< relative to the other parts of the route

    [[nodiscard]] bool operator==(const split_part&) const = default;
};

/// Destination and guarantees for requests with a given host and path prefix.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    request_kind kind = request_kind::non_idempotent;
    duration objective {}; ///< latency objective; a later response has little value to the caller
    duration timeout {}; ///< maximum time until the caller receives a response
    std::uint32_t attempts = 1; ///< maximum number of servers that one request may run on
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::vector<split_part> split; ///< never empty
    bool anonymous = false; ///< requests need no key even if the configuration has teams

    [[nodiscard]] bool operator==(const route&) const = default;
};

/// A service as configured by the operators.
struct service {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< per server, over all entry hosts
    duration coldStart {}; ///< time for which a server is cold after its start
    double coldRequestsPerSecond = 0; ///< request rate that a cold server can handle

    [[nodiscard]] bool operator==(const service&) const = default;
};

/// Limits on the size and duration of callers' requests.
struct caller_limits {
    std::uint64_t headerBytes = 16384;
    std::uint64_t bodyBytes = 67108864;
    duration headerTimeout = std::chrono::seconds { 3 };
    duration idleTimeout = std::chrono::seconds { 15 };

    [[nodiscard]] bool operator==(const caller_limits&) const = default;
};

/// A complete configuration as published by the operators.
struct configuration {
    std::uint32_t version = 0; ///< increases with every change
    caller_limits limits;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<team> teams {}; ///< empty: requests need no key

    [[nodiscard]] bool operator==(const configuration&) const = default;
};

/// Finds the configuration of a service.
/// \return the service, or null if the configuration does not contain it
[[nodiscard]] inline const service* findService(const configuration& from, std::string_view name) noexcept
{
    for (const auto& known : from.services) {
        if (known.name == name)
            return &known;
    }
    return nullptr;
}

} // namespace acaciaslip::state::gateway
