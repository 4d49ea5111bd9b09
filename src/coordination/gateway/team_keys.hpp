#pragma once

#include "state/gateway/configuration.hpp"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace acaciaslip::coordination::gateway {

/// Pattern: a key in nearly every request, thousands of keys, and few changes of them.
///
/// The index is built once for each configuration and replaced together with it, so that a request is never checked
/// against the keys of one version and the routes of another.
struct team_keys {
    std::shared_ptr<const state::gateway::configuration> config; ///< owns what `byKey` refers to
    std::unordered_map<std::string_view, const state::gateway::team*> byKey;
};

/// Builds the index of a configuration.
[[nodiscard]] team_keys indexKeys(std::shared_ptr<const state::gateway::configuration> config);

/// Finds the team that a key identifies.
/// \return the team, or null if the key is empty or in no team
[[nodiscard]] const state::gateway::team* findTeam(const team_keys& keys, std::string_view key) noexcept;

} // namespace acaciaslip::coordination::gateway
