#include "protocol/http/message.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

#include <absl/algorithm/container.h>
#include <fmt/format.h>
#include <strings.h>

namespace acaciaslip::protocol::http {

namespace {

constexpr std::array<std::string_view, 9> connectionHeaders { "Connection", "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade" };
constexpr std::string_view lengthHeader = "Content-Length";

struct status_phrase {
    int status;
    std::string_view phrase;
};

constexpr std::array<status_phrase, 17> phrases { {
    { 200, "OK" },
    { 400, "Bad Request" },
    { 401, "Unauthorized" },
    { 404, "Not Found" },
    { 405, "Method Not Allowed" },
    { 408, "Request Timeout" },
    { 409, "Conflict" },
    { 413, "Content Too Large" },
    { 414, "URI Too Long" },
    { 417, "Expectation Failed" },
    { 429, "Too Many Requests" },
    { 431, "Request Header Fields Too Large" },
    { 501, "Not Implemented" },
    { 502, "Bad Gateway" },
    { 503, "Service Unavailable" },
    { 504, "Gateway Timeout" },
    { 505, "HTTP Version Not Supported" },
} };

bool isTokenCharacter(char character) noexcept
{
    if ((character >= '0' && character <= '9') || (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z'))
        return true;
    return character != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}

} // namespace

bool isToken(std::string_view text) noexcept
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

std::string_view trim(std::string_view text) noexcept
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool equalsIgnoringCase(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::vector<std::string> splitList(std::string_view value)
{
    std::vector<std::string> names;
    while (!value.empty()) {
        const auto comma = std::min(value.find(','), value.size());
        if (const auto name = trim(value.substr(0, comma)); !name.empty())
            names.emplace_back(name);
        value.remove_prefix(std::min(comma + 1, value.size()));
    }
    return names;
}

std::size_t countHeaders(const message& from, std::string_view name) noexcept
{
    return static_cast<std::size_t>(absl::c_count_if(
        from.headers, [&](const header_field& header) { return equalsIgnoringCase(header.name, name); }));
}

std::optional<std::string_view> findHeader(const message& from, std::string_view name) noexcept
{
    for (const auto& header : from.headers) {
        if (equalsIgnoringCase(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

bool isConnectionHeader(std::string_view name) noexcept
{
    return equalsIgnoringCase(name, lengthHeader)
        || std::any_of(connectionHeaders.begin(), connectionHeaders.end(),
            [&](std::string_view known) { return equalsIgnoringCase(name, known); });
}

std::vector<std::string> listedConnectionHeaders(const message& from)
{
    std::vector<std::string> names;
    for (const auto& header : from.headers) {
        if (equalsIgnoringCase(header.name, "Connection"))
            absl::c_move(splitList(header.value), std::back_inserter(names));
    }
    return names;
}

std::string_view extractPath(std::string_view target) noexcept
{
    return target.substr(0, target.find('?'));
}

std::string decodePercent(std::string_view text)
{
    constexpr std::size_t digits = 2;
    constexpr int hexadecimal = 16;
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned char byte = 0;
        const auto* const first = text.data() + index + 1;
        if (text[index] == '%' && index + digits < text.size()
            && std::from_chars(first, first + digits, byte, hexadecimal).ptr == first + digits) {
            decoded += static_cast<char>(byte);
            index += digits;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

std::optional<std::uint64_t> parseUnsigned(std::string_view text) noexcept
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::optional<state::duration> parseMilliseconds(std::string_view text) noexcept
{
    constexpr std::int64_t longest = std::chrono::milliseconds { std::chrono::hours { 24 } }.count();
    std::int64_t milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error == std::errc::result_out_of_range && !text.starts_with('-'))
        milliseconds = longest;
    else if (error != std::errc {} || milliseconds < 0)
        return std::nullopt;
    return std::chrono::milliseconds { std::min(milliseconds, longest) };
}

bool needsContentLength(const message& request) noexcept
{
    return !request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
}

std::optional<std::string_view> findParameter(std::string_view target, std::string_view name) noexcept
{
    const auto start = target.find('?');
    std::string_view left = start == std::string_view::npos ? std::string_view {} : target.substr(start + 1);
    while (!left.empty()) {
        const auto end = std::min(left.find('&'), left.size());
        const auto pair = left.substr(0, end);
        if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=')
            return pair.substr(name.size() + 1);
        left.remove_prefix(std::min(end + 1, left.size()));
    }
    return std::nullopt;
}

void appendHeader(std::string& to, std::string_view name, std::string_view value)
{
    to.append(name).append(": ").append(value).append("\r\n");
}

std::string_view reasonPhrase(int status) noexcept
{
    for (const auto& known : phrases) {
        if (known.status == status)
            return known.phrase;
    }
    return "Unknown";
}

std::string writeAnswer(int status, std::string_view contentType, std::string_view body, bool keepAlive)
{
    return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n{}\r\n{}", status,
        reasonPhrase(status), contentType, body.size(), keepAlive ? "" : "Connection: close\r\n", body);
}

} // namespace acaciaslip::protocol::http
