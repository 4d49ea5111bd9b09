#pragma once

#include "state/identifiers.hpp"
#include "state/time.hpp"
#include "state/verdict.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace acaciaslip::state {

/// Bytes that transport owns and the layers below only hand on.
struct payload {
    payload() = default;
    payload(const payload&) = delete;
    payload& operator=(const payload&) = delete;
    virtual ~payload() = default;
};

/// Shared because a request may be sent twice at a time (a hedge).
using payload_pointer = std::shared_ptr<payload>;

/// One try to have a server carry a request.
struct attempt {
    attempt_id id {};
    server_index server = 0;
    time_point startedAt;
    bool hedge = false;
};

/// A request that a caller waits for.
struct request {
    request_id id {};
    service_index service = 0;
    bool idempotent = false;
    std::string idempotencyKey;
    time_point arrivedAt;
    time_point deadline;
    std::vector<attempt> running; ///< attempts with no outcome yet
    std::vector<server_index> tried; ///< servers not to try again
    std::uint32_t attempts = 0; ///< made so far
    bool mayHaveRun = false; ///< some attempt's outcome leaves it open
    std::optional<refusal_reason> lastFailure;
    std::optional<time_point> waitingUntil; ///< set while it waits for a server
    payload_pointer body;
};

/// Every request in progress, and which request an attempt belongs to.
struct request_ledger {
    absl::flat_hash_map<request_id, request> requests;
    absl::flat_hash_map<attempt_id, request_id> attempts;
    absl::flat_hash_map<std::string, request_id> keys; ///< "team/service/key" of requests in progress
    std::uint64_t nextAttempt = 1;
};

} // namespace acaciaslip::state
