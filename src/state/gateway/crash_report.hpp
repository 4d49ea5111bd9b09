#pragma once

#include "state/enum_names.hpp"
#include "state/gateway/request_digest.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <array>
#include <optional>
#include <vector>

namespace acaciaslip::state::gateway {

/// A crash of a server during a request. Times are fleet time.
struct server_crash {
    host_id server;
    time_point startedAt; ///< when the request was sent
    time_point endedAt; ///< when its connection broke off
    /// Several servers ended at that time, and this request is not what distinguishes them: it may have caused one
    /// crash.
    bool isShared = false;

    [[nodiscard]] bool operator==(const server_crash&) const = default;
};

/// Which requests a digest identifies as the same one.
enum class digest_scope {
    exact, ///< equal in all that a server sees
    any_query, ///< equal apart from the query
};

inline constexpr std::array<state::enum_name<digest_scope>, 2> digestScopeNames { {
    { digest_scope::exact, "exact" },
    { digest_scope::any_query, "any_query" },
} };

/// What is known of a request during which servers ended. Times are fleet time.
struct crash_report {
    request_digest request;
    std::vector<server_crash> crashes; ///< earliest first; only those that began after `answeredAt`
    std::optional<time_point> answeredAt; ///< when a server last answered such a request
    time_point lastSeenAt; ///< when such a request last crashed a server or was refused
    digest_scope scope = digest_scope::exact; ///< of `request`
    request_digest anyQuery {}; ///< of the same request; all zero: none, unknown, or `request` is that digest

    [[nodiscard]] bool operator==(const crash_report&) const = default;
};

} // namespace acaciaslip::state::gateway
