#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace acaciaslip::app {

/// Formats one node's dump as text; problems that need attention come first.
[[nodiscard]] std::string formatDump(const nlohmann::json& dump);

} // namespace acaciaslip::app
