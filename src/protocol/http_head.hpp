#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace acaciaslip::protocol {

/// How the end of a message's body is told.
enum class body_framing {
    none, ///< no body follows the head
    length, ///< Content-Length
    chunked, ///< Transfer-Encoding: chunked
};

/// What Range is called in `request_head::checked`, since the HTTP library answers a range that it cannot read itself.
inline constexpr std::string_view rangeAlias = "Acaciaslip-Range";

/// What a message may take up.
struct message_limits {
    std::size_t headBytes = 32768; ///< start line and headers together
    std::size_t lineBytes = 8000; ///< one line of the head
    std::size_t headers = 100;
    std::uint64_t bodyBytes = 8ULL * 1024 * 1024;
};

/// Why a request's head is refused.
struct head_refusal {
    int status = 400;
    std::string_view reason; ///< for a person
};

/// A request's head that has passed every check.
struct request_head {
    std::string method;
    std::string target; ///< as it was sent
    body_framing framing = body_framing::none;
    std::uint64_t bodyLength = 0; ///< bytes, with body_framing::length
    bool keepAlive = true;
    bool expectsContinue = false;
    bool isHttp11 = true;
    std::string checked; ///< the head in the form that the HTTP library reads back unchanged
};

/// An answer's head that has passed every check.
struct answer_head {
    int status = 0;
    body_framing framing = body_framing::none;
    std::uint64_t bodyLength = 0; ///< bytes, with body_framing::length
    std::optional<std::uint64_t> declaredLength; ///< Content-Length, also when no body follows it
    bool keepAlive = true;
    std::string checked; ///< the head, told to be without a body, in the form that the HTTP library reads back
};

/// Reads a request's head strictly: what could be read in two ways is refused.
///
/// The HTTP library decodes percent signs in header values and takes much that is malformed; a balancer in front of
/// other readers must not. `request_head::checked` is safe to hand to it.
/// \param text everything up to and with the empty line
[[nodiscard]] std::variant<request_head, head_refusal> readRequestHead(
    std::string_view text, const message_limits& limits);

/// Reads an answer's head strictly.
/// \param text everything up to and with the empty line
/// \param toHead whether the request's method was HEAD
/// \return the head, or nothing when the end of the answer is not told without doubt
[[nodiscard]] std::optional<answer_head> readAnswerHead(
    std::string_view text, bool toHead, const message_limits& limits);

/// The names that a Connection header's values list.
[[nodiscard]] std::vector<std::string> splitList(std::string_view value);

/// Compares names of headers.
[[nodiscard]] bool equalsIgnoringCase(std::string_view left, std::string_view right) noexcept;

} // namespace acaciaslip::protocol
