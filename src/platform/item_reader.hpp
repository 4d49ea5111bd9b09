#pragma once

#include "state/gateway/published_fleet.hpp"

#include <string>

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

namespace acaciaslip::platform {

/// Key prefixes that are read from the store.
inline constexpr std::string_view serverPrefix = "servers/";
inline constexpr std::string_view operatorPrefix = "op/";

/// Parses a server's entry.
/// \param id part of its key after the prefix
/// \return the entry, or an error if it does not describe a usable server; other writers may store arbitrary data there
[[nodiscard]] absl::StatusOr<state::gateway::server_entry> readServerEntry(
    const std::string& id, const std::string& text);

/// Parses a complete configuration.
/// \return the configuration, or one error that lists every unreadable part with its position and field
[[nodiscard]] absl::StatusOr<state::gateway::configuration> readConfiguration(const std::string& text);

/// Adds an item of the store, or its removal, to the fleet.
/// \param item JSON object returned by the store
/// \return an error if the item is invalid; an invalid server counts as absent, and an invalid configuration is ignored
[[nodiscard]] absl::Status addItem(
    const nlohmann::json& item, state::gateway::published_fleet& to, state::revision era = 0);

} // namespace acaciaslip::platform
