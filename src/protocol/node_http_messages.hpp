#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "protocol/http/message.hpp"
#include "state/request_table.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace acaciaslip::protocol {

/// A request or a response, which the lower layers pass on as an opaque payload.
struct http_payload final : state::payload {
    explicit http_payload(http::message carried)
        : httpMessage(std::move(carried))
    {
    }

    http::message httpMessage;
};

/// Why a request is refused before the node handles it.
struct request_error {
    int status = 0;
    std::string_view reason; ///< human-readable; sent as the body
};

/// Checks whether a well-formed request can be forwarded: its target, Host, method and Expect header.
/// \return the reason for refusing it, or std::nullopt when it can be forwarded
[[nodiscard]] std::optional<request_error> validateRequest(const http::message& request);

/// Creates the node's event for a request. Its payload leaves out connection-specific headers and the product's own.
[[nodiscard]] coordination::request_arrived makeRequestArrived(state::request_id id, http::message request);

/// Writes one attempt of a request.
/// \param attemptId id that the server echoes in its response
/// \param timeRemaining timeout sent to the server; at least 1 ms is sent
[[nodiscard]] std::string writeAttempt(
    const http::message& request, std::string_view attemptId, state::duration timeRemaining);

/// Reads the outcome of an attempt from a response, which must echo the attempt's id. The caller sets `id`.
[[nodiscard]] coordination::attempt_finished readAttempt(http::message answer, std::string_view attemptId);

/// Writes the request that cancels an attempt whose result is no longer needed.
[[nodiscard]] std::string writeCancel(std::string_view address, std::string_view attemptId);

/// Properties of the caller's request and connection that determine how a response is written.
struct answer_options {
    bool isHeadRequest = false; ///< the request's method was HEAD: no body is sent
    bool keepAlive = true; ///< another response may follow on the connection
};

/// Writes a server's response to the caller, with the verdict header added.
[[nodiscard]] std::string writeCallerAnswer(const coordination::answer_caller& answered, const answer_options& form);

/// Writes the response to the caller when no server's response can be forwarded: the verdict and the reason.
[[nodiscard]] std::string writeRefusal(const coordination::refuse_caller& refused, const answer_options& form);

/// Writes the refusal of a request that never reached the node: it has not run, and the connection is closed.
/// \param reason human-readable; sent as the body
[[nodiscard]] std::string writeEarlyRefusal(int status, std::string_view reason, bool isHeadRequest);

} // namespace acaciaslip::protocol
