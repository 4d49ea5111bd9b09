#pragma once

#include "state/gateway/published_fleet.hpp"

#include <cstddef>
#include <optional>

namespace acaciaslip::coordination::gateway {

/// Pattern: small changes of a large configuration, on many hosts with thin links.
///
/// The store holds a configuration as one value. Between hosts only its changed routes and teams are sent.

/// Whether a whole configuration comes from an older host, which relays no teams, although teams are known. To apply it
/// would admit every caller without a key.
[[nodiscard]] bool lacksTeams(
    const state::gateway::published_configuration& known, const state::gateway::published_configuration& read) noexcept;

/// Replaces a configuration with a newer one, and records which routes and teams differ.
/// \return false if the configuration read is not newer, or lacks the teams
bool mergeConfiguration(
    state::gateway::published_configuration& known, const state::gateway::published_configuration& read);

/// Applies changes.
/// \return false if they are not newer, or the result differs from the sender's configuration
bool mergeConfigurationChanges(
    state::gateway::published_configuration& known, const state::gateway::configuration_changes& changes);

/// Collects the changes after a revision.
/// \return nothing if some of them are no longer known
[[nodiscard]] std::optional<state::gateway::configuration_changes> makeConfigurationChanges(
    const state::gateway::published_configuration& known, state::revision after);

/// Number of routes, services and teams that a host which knows everything up to a revision needs.
[[nodiscard]] std::size_t countConfigurationChanges(
    const state::gateway::published_configuration& known, state::revision after) noexcept;

} // namespace acaciaslip::coordination::gateway
