#pragma once

#include "state/node_settings.hpp"

#include <span>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace acaciaslip::protocol {

/// Names of all keys of node.yaml.
[[nodiscard]] std::span<const std::string_view> nodeKeyNames();

/// Reads and checks node.yaml.
/// \param text content of the file
/// \param name name of the file in error messages
/// \return the settings, or one error that lists every problem with file, line and column
[[nodiscard]] absl::StatusOr<state::node_settings> readNodeSettings(std::string_view text, const std::string& name);

} // namespace acaciaslip::protocol
