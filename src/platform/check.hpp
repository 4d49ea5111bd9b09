#pragma once

#include <string>
#include <vector>

namespace acaciaslip::platform {

/// Checks settings files as the platform renders them (YAML) and published configurations (*.json), and prints every
/// error.
/// \return the exit code
[[nodiscard]] int checkPlatformFiles(const std::vector<std::string>& paths);

} // namespace acaciaslip::platform
