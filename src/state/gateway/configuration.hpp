#pragma once

#include "state/enum_names.hpp"
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

/// One service that a route sends to, with its share of the route's requests.
struct split_part {
    std::string service;
    std::uint32_t weight = 1; ///< relative to the other parts of the route

    [[nodiscard]] bool operator==(const split_part&) const = default;
};

/// Where requests for a host and a path go, and what is promised for them.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    request_kind kind = request_kind::non_idempotent;
    duration objective {}; ///< an answer later than this is worth little to the caller
    duration timeout {}; ///< the longest time that a caller is kept waiting
    std::uint32_t attempts = 1; ///< the most servers that one request may run on
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::vector<split_part> split; ///< never empty

    [[nodiscard]] bool operator==(const route&) const = default;
};

/// One service as the operators describe it.
struct service {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< one server's, over all entry hosts
    duration coldStart {}; ///< how long a server stays cold after its start
    double coldRequestsPerSecond = 0; ///< what a cold server bears

    [[nodiscard]] bool operator==(const service&) const = default;
};

/// What a caller may send, and how long it may take.
struct caller_limits {
    std::uint64_t headerBytes = 16384;
    std::uint64_t bodyBytes = 67108864;
    duration headerTimeout = std::chrono::seconds { 3 };
    duration idleTimeout = std::chrono::seconds { 15 };

    [[nodiscard]] bool operator==(const caller_limits&) const = default;
};

/// One whole configuration as the operators published it.
struct configuration {
    std::uint32_t version = 0; ///< rises with every change
    caller_limits limits;
    std::vector<route> routes;
    std::vector<service> services;

    [[nodiscard]] bool operator==(const configuration&) const = default;
};

/// Finds a service's description.
/// \return the service, or null when the configuration does not name it
[[nodiscard]] inline const service* findService(const configuration& from, std::string_view name) noexcept
{
    for (const auto& known : from.services) {
        if (known.name == name)
            return &known;
    }
    return nullptr;
}

} // namespace acaciaslip::state::gateway
