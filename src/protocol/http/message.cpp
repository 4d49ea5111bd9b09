#include "protocol/http/message.hpp"

#include "protocol/http_head.hpp"

#include <algorithm>
#include <array>
#include <iterator>

#include <absl/algorithm/container.h>
#include <fmt/format.h>

namespace acaciaslip::protocol::http {

namespace {

constexpr std::array<std::string_view, 9> connectionHeaders { "Connection", "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade" };
constexpr std::string_view lengthHeader = "Content-Length";

struct status_phrase {
    int status;
    std::string_view phrase;
};

constexpr std::array<status_phrase, 10> phrases { {
    { 200, "OK" },
    { 400, "Bad Request" },
    { 404, "Not Found" },
    { 405, "Method Not Allowed" },
    { 408, "Request Timeout" },
    { 413, "Content Too Large" },
    { 431, "Request Header Fields Too Large" },
    { 502, "Bad Gateway" },
    { 503, "Service Unavailable" },
    { 504, "Gateway Timeout" },
} };

} // namespace

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

std::string_view pathOf(std::string_view target) noexcept
{
    return target.substr(0, target.find('?'));
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
