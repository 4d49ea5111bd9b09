#include "coordination/gateway/route_lookup.hpp"

#include <strings.h>

namespace acaciaslip::coordination::gateway {

namespace {

bool isSameHost(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

const state::gateway::route* findRoute(
    const state::gateway::configuration& config, std::string_view host, std::string_view path) noexcept
{
    const state::gateway::route* longest = nullptr;
    for (const auto& route : config.routes) {
        const bool matches = path.starts_with(route.pathPrefix) && isSameHost(route.host, host);
        if (matches && (longest == nullptr || route.pathPrefix.size() > longest->pathPrefix.size()))
            longest = &route;
    }
    return longest;
}

} // namespace acaciaslip::coordination::gateway
