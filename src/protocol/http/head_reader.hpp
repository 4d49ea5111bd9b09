#pragma once

#include "protocol/http/message.hpp"
#include "protocol/http/parsing.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>

namespace acaciaslip::protocol::http {

/// How the end of a message body is determined.
enum class body_framing {
    none, ///< no body follows the head
    length, ///< Content-Length
    chunked, ///< Transfer-Encoding: chunked
    until_close, ///< of a response: everything until the connection ends
};

/// The head of a message and the framing of its body.
struct message_head {
    message partialMessage; ///< the message without its body
    body_framing framing = body_framing::none;
    std::uint64_t bodyLength = 0; ///< in bytes, with body_framing::length
};

/// Parses a header or trailer line. Folded lines are rejected, because a leading space is not part of a valid name.
/// \param line without its CRLF
/// \return name and value, or std::nullopt if the line is malformed
[[nodiscard]] std::optional<std::pair<std::string_view, std::string_view>> readFieldLine(
    std::string_view line) noexcept;

/// Parses the head of a request.
/// \param text the message up to and including the empty line
/// \return the head, or the error
[[nodiscard]] std::variant<message_head, parse_status> readRequestHead(
    std::string_view text, const message_limits& limits);

/// Parses the head of a response.
/// \param text the message up to and including the empty line
/// \param isHeadRequest whether the request's method was HEAD
/// \return the head, or the error
[[nodiscard]] std::variant<message_head, parse_status> readAnswerHead(
    std::string_view text, bool isHeadRequest, const message_limits& limits);

} // namespace acaciaslip::protocol::http
