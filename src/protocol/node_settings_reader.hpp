#pragma once

#include "state/node_settings.hpp"

#include <span>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace acaciaslip::protocol {

/// Names of all keys of a node.yaml.
[[nodiscard]] std::span<const std::string_view> nodeKeyNames();

/// Reads and checks a node.yaml.
/// \param text the file's text
/// \param name what errors call the file
/// \return the settings, or every error at once with file, line and column
[[nodiscard]] absl::StatusOr<state::node_settings> readNodeSettings(std::string_view text, const std::string& name);

} // namespace acaciaslip::protocol
