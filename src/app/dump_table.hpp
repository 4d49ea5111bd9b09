#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace acaciaslip::app {

/// Writes one node's dump for a person: what needs attention first.
[[nodiscard]] std::string writeDump(const nlohmann::json& dump);

} // namespace acaciaslip::app
