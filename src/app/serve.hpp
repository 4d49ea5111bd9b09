#pragma once

#include <string>

namespace acaciaslip::app {

/// Runs a node until it is told to stop.
/// \param settingsFile path of its node.yaml
/// \return the process's exit code
[[nodiscard]] int serve(const std::string& settingsFile);

} // namespace acaciaslip::app
