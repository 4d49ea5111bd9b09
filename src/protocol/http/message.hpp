#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciaslip::protocol::http {

/// One header field as it was sent.
struct header_field {
    std::string name;
    std::string value;
};

/// One whole request or answer.
struct message {
    std::string method; ///< of a request
    std::string target; ///< of a request: path and query as they were sent
    int status = 0; ///< of an answer
    std::string reason; ///< of an answer
    std::vector<header_field> headers;
    std::string body; ///< chunks put together
    bool isHttp11 = true; ///< HTTP/1.0 otherwise
    bool keepAlive = true; ///< the connection may carry another message
    bool endsWithConnection = false; ///< the body's length was told by the end of the connection only
    bool expectsContinue = false; ///< the sender waits for status 100 before it sends the body
};

/// Compares names of headers.
[[nodiscard]] bool equalsIgnoringCase(std::string_view left, std::string_view right) noexcept;

/// Whether a text may be a method or the name of a header.
[[nodiscard]] bool isToken(std::string_view text) noexcept;

/// A text without the spaces and tabs around it.
[[nodiscard]] std::string_view trim(std::string_view text) noexcept;

/// The entries of a header value that is a list separated by commas.
[[nodiscard]] std::vector<std::string> splitList(std::string_view value);

/// How many headers of a name there are.
[[nodiscard]] std::size_t countHeaders(const message& from, std::string_view name) noexcept;

/// Finds the first header of a name, whatever its case.
[[nodiscard]] std::optional<std::string_view> findHeader(const message& from, std::string_view name) noexcept;

/// Whether a header concerns one connection only, or tells the body's length, and is therefore not forwarded.
[[nodiscard]] bool isConnectionHeader(std::string_view name) noexcept;

/// The names that the Connection header lists beside the usual ones: those headers are not forwarded either.
[[nodiscard]] std::vector<std::string> listedConnectionHeaders(const message& from);

/// The path of a target, without its query.
[[nodiscard]] std::string_view pathOf(std::string_view target) noexcept;

/// Replaces each "%" with two hexadecimal digits by the byte that they tell; others stay.
[[nodiscard]] std::string decodePercent(std::string_view text);

/// Reads a text that is a whole decimal number without a sign.
[[nodiscard]] std::optional<std::uint64_t> readNumber(std::string_view text) noexcept;

/// Whether a request is to be sent with a Content-Length: it has a body, or a method that usually has one.
[[nodiscard]] bool needsLength(const message& request) noexcept;

/// The value of a query's parameter, decoded of nothing.
/// \return the value, or nothing when the target has no such parameter
[[nodiscard]] std::optional<std::string_view> findParameter(std::string_view target, std::string_view name) noexcept;

/// Appends "name: value" with its line end.
void appendHeader(std::string& to, std::string_view name, std::string_view value);

/// Writes an answer with a length and without any header but those that tell it.
[[nodiscard]] std::string writeAnswer(int status, std::string_view contentType, std::string_view body, bool keepAlive);

/// The standard's words for a status.
[[nodiscard]] std::string_view reasonPhrase(int status) noexcept;

} // namespace acaciaslip::protocol::http
