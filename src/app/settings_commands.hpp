#pragma once

#include <string>
#include <vector>

namespace acaciaslip::app {

/// Checks node.yaml files and the platform's values, and prints all errors.
/// \return the exit code
[[nodiscard]] int checkFiles(const std::vector<std::string>& paths);

/// Prints every team's services with their templates expanded, as YAML.
/// \return the exit code
[[nodiscard]] int renderFiles(const std::vector<std::string>& paths);

} // namespace acaciaslip::app
