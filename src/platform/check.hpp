#pragma once

#include <string>
#include <vector>

namespace acaciaslip::platform {

/// Checks settings files rendered by the platform (YAML) and published configurations (*.json), and prints all errors.
/// \return exit code of the process
[[nodiscard]] int checkPlatformFiles(const std::vector<std::string>& paths);

} // namespace acaciaslip::platform
