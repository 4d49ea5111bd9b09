#include "coordination/gateway/team_keys.hpp"

#include <utility>

namespace acaciaslip::coordination::gateway {

team_keys indexKeys(std::shared_ptr<const state::gateway::configuration> config)
{
    team_keys made { std::move(config), {} };
    if (!made.config)
        return made;
    std::size_t count = 0;
    for (const auto& team : made.config->teams)
        count += team.keys.size();
    made.byKey.reserve(count);
    for (const auto& team : made.config->teams) {
        for (const auto& key : team.keys) {
            if (!key.empty())
                made.byKey.try_emplace(key, &team);
        }
    }
    return made;
}

const state::gateway::team* findTeam(const team_keys& keys, std::string_view key) noexcept
{
    const auto found = keys.byKey.find(key);
    return found == keys.byKey.end() ? nullptr : found->second;
}

} // namespace acaciaslip::coordination::gateway
