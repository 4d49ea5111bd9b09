#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "protocol/http/message.hpp"
#include "state/request_ledger.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace acaciaslip::protocol {

/// A request or an answer, as the layers below hand it on unread.
struct http_payload final : state::payload {
    explicit http_payload(http::message carried)
        : message(std::move(carried))
    {
    }

    http::message message;
};

/// Why a request is refused before the node hears of it.
struct request_fault {
    int status = 0;
    std::string_view reason; ///< for a person
};

/// Finds what keeps a well-formed request from being passed on: its target, Host, method or expectation.
[[nodiscard]] std::optional<request_fault> findFault(const http::message& request);

/// Describes a request to the node and packs it without the headers of its connection and the product's own.
[[nodiscard]] coordination::request_arrived describeRequest(state::request_id id, http::message request);

/// Writes an attempt at a request.
/// \param attemptId that the server echoes
/// \param timeLeft that the server is told to have
[[nodiscard]] std::string writeAttempt(
    const http::message& request, std::string_view attemptId, state::duration timeLeft);

/// What an answer says of the attempt whose id it must echo. `id` is left to the caller.
[[nodiscard]] coordination::attempt_finished readAttempt(http::message answer, std::string_view attemptId);

/// Writes the notice that nobody waits for an attempt any more.
[[nodiscard]] std::string writeCancel(std::string_view address, std::string_view attemptId);

/// What the form of an answer depends on.
struct answer_form {
    bool toHead = false; ///< the request's method was HEAD: no body follows
    bool keepAlive = true;
};

/// Writes a server's answer, with the verdict, for the caller.
[[nodiscard]] std::string writeCallerAnswer(const coordination::answer_caller& answered, const answer_form& form);

/// Writes what is known when there is no server's answer.
[[nodiscard]] std::string writeRefusal(const coordination::refuse_caller& refused, const answer_form& form);

/// Writes the refusal of a request that the node never heard of: it has not run, and the connection ends.
/// \param reason for a person
[[nodiscard]] std::string writeEdgeRefusal(int status, std::string_view reason, bool toHead);

} // namespace acaciaslip::protocol
