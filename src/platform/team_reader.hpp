#pragma once

#include "state/gateway/team.hpp"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace acaciaslip::platform {

/// Describes a team that cannot be accepted, without any of its keys.
struct team_error {
    std::string problem;
};

/// Checks that the teams of a configuration form a list.
/// \throws team_error if they do not: to read them as "no teams" would admit every caller
void checkTeamList(const nlohmann::json& list);

/// Reads teams one by one and checks that no two of them share a name or a key.
class team_reader {
public:
    /// Reads the next team.
    /// \throws json_field::field_error or team_error; neither contains a key
    void add(const nlohmann::json& from);

    /// \return the teams that were read
    [[nodiscard]] std::vector<state::gateway::team> take() { return std::move(m_teams); }

private:
    void addKeys(const nlohmann::json& list, state::gateway::team& to);

    std::size_t m_position = 0; ///< of the team being read
    std::vector<state::gateway::team> m_teams;
    std::unordered_map<std::string, std::size_t> m_names; ///< with the positions of their teams
    std::unordered_map<std::string, std::size_t> m_keys; ///< with the positions of their teams
};

} // namespace acaciaslip::platform
