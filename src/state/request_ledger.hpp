#pragma once

#include "state/identifiers.hpp"
#include "state/time.hpp"
#include "state/verdict.hpp"

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/btree_set.h>
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
    request_id request {};
    server_index server = 0;
    time_point startedAt;
    bool hedge = false;
    std::string idempotencyKey; ///< of the request; held until the attempt has ended
};

/// A request that a caller waits for.
struct request {
    request_id id {};
    service_index service = 0;
    bool idempotent = false;
    std::string idempotencyKey;
    time_point arrivedAt;
    time_point deadline;
    std::vector<attempt_id> running; ///< attempts with no outcome yet
    std::vector<server_index> tried; ///< servers not to try again
    std::uint32_t attempts = 0; ///< made so far
    bool mayHaveRun = false; ///< some attempt's outcome leaves it open
    std::optional<time_point> waitingUntil; ///< set while it waits for a server
    time_point notBefore; ///< while it waits: not to be sent earlier
    double owedTokens = 0; ///< what its next attempt takes from the retry budget
    std::optional<time_point> hedgeAt; ///< when to ask a second server
    time_point dueAt; ///< its place in the ledger's `due`
    payload_pointer body;
};

/// When a request next needs attention though nothing happens to it.
struct due_request {
    time_point at;
    request_id id {};

    // NOLINTNEXTLINE(modernize-use-nullptr): a false alarm on defaulted comparisons
    [[nodiscard]] friend auto operator<=>(const due_request&, const due_request&) = default;
};

/// Who holds an idempotency key: the first request with it, and that request's attempts.
struct key_holder {
    request_id request {};
    std::uint32_t holders = 0; ///< the request while in progress, and each attempt without an outcome
};

/// Every request in progress and every attempt without an outcome; an attempt may outlive its request.
struct request_ledger {
    absl::flat_hash_map<request_id, request> requests;
    absl::flat_hash_map<attempt_id, attempt> attempts;
    absl::flat_hash_map<std::string, key_holder> keys;
    absl::btree_set<due_request> due; ///< every request in progress, once
    time_point lastDeadline; ///< the latest that any request had
    std::uint64_t nextAttempt = 1;
};

} // namespace acaciaslip::state
