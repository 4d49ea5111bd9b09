#pragma once

#include "protocol/http/message.hpp"
#include "protocol/http/parsing.hpp"

#include <cstdint>
#include <string_view>
#include <variant>

namespace acaciaslip::protocol::http {

/// How the end of a message's body is told.
enum class body_framing {
    none, ///< no body follows the head
    length, ///< Content-Length
    chunked, ///< Transfer-Encoding: chunked
    connection_end, ///< of an answer: everything until the connection ends
};

/// The head of a message and what is to follow it.
struct message_head {
    message start; ///< everything but the body
    body_framing framing = body_framing::none;
    std::uint64_t bodyLength = 0; ///< bytes, with body_framing::length
};

/// Reads a request's head.
/// \param text everything up to and with the empty line
/// \return the head, or what is wrong with it
[[nodiscard]] std::variant<message_head, parse_progress> readRequestHead(
    std::string_view text, const message_limits& limits);

/// Reads an answer's head.
/// \param text everything up to and with the empty line
/// \param toHead whether the request's method was HEAD
/// \return the head, or what is wrong with it
[[nodiscard]] std::variant<message_head, parse_progress> readAnswerHead(
    std::string_view text, bool toHead, const message_limits& limits);

} // namespace acaciaslip::protocol::http
