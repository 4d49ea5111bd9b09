#pragma once

#include "coordination/memory_budget.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciaslip::protocol::http {

/// One header field; name and value as they were sent.
struct header_field {
    std::string name;
    std::string value;
};

/// One complete request or response.
struct message {
    std::string method; ///< of a request
    std::string target; ///< of a request: path and query, not decoded
    int status = 0; ///< of a response
    std::string reason; ///< of a response
    std::vector<header_field> headers;
    std::string body; ///< with chunks decoded
    bool isHttp11 = true; ///< otherwise HTTP/1.0
    bool keepAlive = true; ///< the connection can be used for another message
    bool closeDelimited = false; ///< the body is delimited by the end of the connection
    bool expectsContinue = false; ///< the sender waits for status 100 before sending the body
    /// The message's share of the memory budget; null without a budget. Whoever copies the body holds it until the copy
    /// has been passed on.
    std::shared_ptr<coordination::memory_reservation> memory;
};

/// Compares header names case-insensitively.
[[nodiscard]] bool equalsIgnoringCase(std::string_view left, std::string_view right) noexcept;

/// Whether a text is a valid token, as methods and header names must be.
[[nodiscard]] bool isToken(std::string_view text) noexcept;

/// Removes leading and trailing spaces and tabs.
[[nodiscard]] std::string_view trim(std::string_view text) noexcept;

/// Splits a comma-separated header value; empty entries are skipped.
[[nodiscard]] std::vector<std::string> splitList(std::string_view value);

/// Number of headers with a name, compared case-insensitively.
[[nodiscard]] std::size_t countHeaders(const message& from, std::string_view name) noexcept;

/// Finds the first header with a name, compared case-insensitively.
/// \return its value, or std::nullopt when there is no such header
[[nodiscard]] std::optional<std::string_view> findHeader(const message& from, std::string_view name) noexcept;

/// Whether a header is not forwarded, because it is hop-by-hop or gives the length of the body.
[[nodiscard]] bool isConnectionHeader(std::string_view name) noexcept;

/// The names listed in the Connection headers. Headers with these names are not forwarded either.
[[nodiscard]] std::vector<std::string> listedConnectionHeaders(const message& from);

/// Returns the path of a target, without its query.
[[nodiscard]] std::string_view extractPath(std::string_view target) noexcept;

/// Decodes percent-encoded bytes; a "%" without two hexadecimal digits is left as it is.
[[nodiscard]] std::string decodePercent(std::string_view text);

/// Parses an unsigned decimal number.
/// \return the number, or std::nullopt when the text has other characters or the number is out of range
[[nodiscard]] std::optional<std::uint64_t> parseUnsigned(std::string_view text) noexcept;

/// Reads the number of milliseconds at the beginning of a header's value. A time above a day counts as a day, so that
/// sums of durations stay within the range of the clock. \return empty if the value does not begin with a number, or
/// with a negative one
[[nodiscard]] std::optional<state::duration> parseMilliseconds(std::string_view text) noexcept;

/// Whether a request is sent with a Content-Length: it has a body or a method that usually has one.
[[nodiscard]] bool needsContentLength(const message& request) noexcept;

/// Finds a query parameter.
/// \return the value, not percent-decoded, or std::nullopt when the target has no such parameter
[[nodiscard]] std::optional<std::string_view> findParameter(std::string_view target, std::string_view name) noexcept;

/// Appends "name: value" and CRLF.
void appendHeader(std::string& to, std::string_view name, std::string_view value);

/// Writes a response with the headers Content-Type, Content-Length and, without keep-alive, Connection.
[[nodiscard]] std::string writeAnswer(int status, std::string_view contentType, std::string_view body, bool keepAlive);

/// The standard reason phrase of a status; "Unknown" for a status that is not in the table.
[[nodiscard]] std::string_view reasonPhrase(int status) noexcept;

} // namespace acaciaslip::protocol::http
