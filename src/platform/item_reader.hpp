#pragma once

#include "state/gateway/published_fleet.hpp"

#include <string>

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

namespace acaciaslip::platform {

/// Key prefixes of what this system reads from the store.
inline constexpr std::string_view serverPrefix = "servers/";
inline constexpr std::string_view operatorPrefix = "op/";

/// Reads a server's entry.
/// \param id what follows the prefix in its key
/// \return the entry, or why it names no server to use: other writers may leave anything there
[[nodiscard]] absl::StatusOr<state::gateway::server_entry> readServerEntry(
    const std::string& id, const std::string& text);

/// Reads a whole configuration.
/// \return the configuration, or every part that cannot be read, with its place and the field
[[nodiscard]] absl::StatusOr<state::gateway::configuration> readConfiguration(const std::string& text);

/// Adds one item of the store, or its removal, to what was read.
/// \param item as the store gives it
/// \return why the item is passed over, if it is; it then counts as absent
[[nodiscard]] absl::Status addItem(const nlohmann::json& item, state::gateway::published_fleet& to);

} // namespace acaciaslip::platform
