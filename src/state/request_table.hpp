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

/// Bytes of a request or an answer. Transport owns their format; the layers below only pass them on.
struct payload {
    payload() = default;
    payload(const payload&) = delete;
    payload& operator=(const payload&) = delete;
    virtual ~payload() = default;
};

/// Shared because a hedged request is in flight on two servers at the same time.
using payload_pointer = std::shared_ptr<payload>;

/// One attempt to have a server process a request.
struct attempt {
    attempt_id id {};
    request_id request {};
    server_index server = 0;
    time_point startedAt;
    bool hedge = false;
    std::string idempotencyKey; ///< key of the request; reserved until the attempt has ended
};

/// A request in progress, whose caller is waiting for an answer.
struct request {
    request_id id {};
    service_index service = 0;
    bool idempotent = false;
    std::string idempotencyKey;
    time_point arrivedAt;
    time_point deadline;
    std::vector<attempt_id> attemptsInFlight; ///< attempts without an outcome
    std::vector<server_index> excludedServers; ///< servers that are not tried again
    std::uint32_t attempts = 0; ///< attempts made so far
    bool mayHaveRun = false; ///< after an attempt's outcome it is unknown whether the request ran
    std::optional<time_point> waitingUntil; ///< end of the wait; set while the request is queued for a server
    time_point retryAt; ///< while queued: earliest time of the next attempt (retry backoff)
    double nextAttemptCost = 0; ///< tokens that the next attempt takes from the retry budget
    std::optional<time_point> hedgeAt; ///< when to send a hedge to a second server
    time_point dueAt; ///< time of its entry in `request_table::dueTimes`
    payload_pointer body;
};

/// When a request is next due for processing, if no event arrives for it earlier.
struct due_request {
    time_point at;
    request_id id {};

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on defaulted comparisons
    [[nodiscard]] friend auto operator<=>(const due_request&, const due_request&) = default;
};

/// References to an idempotency key: from the first request that has it, and from that request's attempts.
struct idempotency_key_use {
    request_id request {};
    std::uint32_t references
        = 0; ///< one for the request while in progress, and one for each attempt without an outcome
};

/// All requests in progress and all attempts without an outcome. An attempt may outlive its request.
struct request_table {
    absl::flat_hash_map<request_id, request> requests;
    absl::flat_hash_map<attempt_id, attempt> attempts;
    absl::flat_hash_map<std::string, idempotency_key_use> idempotencyKeys;
    absl::btree_set<due_request> dueTimes; ///< exactly one entry for each request in progress
    time_point lastDeadline; ///< latest deadline of any request so far
    std::uint64_t nextAttempt = 1;
};

} // namespace acaciaslip::state
