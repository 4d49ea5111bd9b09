#include "transport/exchange.hpp"

#include "protocol/http_head.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace acaciaslip::transport {

namespace {

constexpr std::string_view ownPrefix = "Acaciaslip-";
constexpr std::array<std::string_view, 11> ownNames { "Connection", "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
    "Expect" };

bool isOwn(std::string_view name)
{
    return protocol::equalsIgnoringCase(name.substr(0, ownPrefix.size()), ownPrefix)
        || std::any_of(ownNames.begin(), ownNames.end(),
            [&](std::string_view own) { return protocol::equalsIgnoringCase(own, name); });
}

} // namespace

void removeOwnHeaders(httplib::Headers& headers)
{
    std::vector<std::string> named;
    const auto [first, last] = headers.equal_range("Connection");
    for (auto connection = first; connection != last; ++connection) {
        for (auto& name : protocol::splitList(connection->second))
            named.push_back(std::move(name));
    }
    for (const auto& name : named) {
        if (!protocol::equalsIgnoringCase(name, "Host"))
            headers.erase(name);
    }
    for (auto header = headers.begin(); header != headers.end();)
        header = isOwn(header->first) ? headers.erase(header) : std::next(header);
}

} // namespace acaciaslip::transport
