#include "coordination/routing.hpp"

namespace acaciaslip::coordination {

namespace {

bool matchesPath(std::string_view prefix, std::string_view path) noexcept
{
    if (!path.starts_with(prefix))
        return false;
    if (prefix.empty() || prefix.back() == '/')
        return true;
    return path.size() == prefix.size() || path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

bool isMoreSpecific(const state::service_settings& candidate, const state::service_settings& best) noexcept
{
    if (candidate.pathPrefix.size() != best.pathPrefix.size())
        return candidate.pathPrefix.size() > best.pathPrefix.size();
    return !candidate.host.empty() && best.host.empty();
}

} // namespace

std::optional<state::service_index> findRoute(
    const state::fleet& fleet, std::string_view host, std::string_view path) noexcept
{
    std::optional<state::service_index> best;
    for (state::service_index index = 0; index < fleet.services.size(); ++index) {
        const auto& service = fleet.services[index];
        if (!service.active || !matchesPath(service.settings.pathPrefix, path))
            continue;
        if (!service.settings.host.empty() && service.settings.host != host)
            continue;
        if (!best || isMoreSpecific(service.settings, fleet.services[*best].settings))
            best = index;
    }
    return best;
}

} // namespace acaciaslip::coordination
