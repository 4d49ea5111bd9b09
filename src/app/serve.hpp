#pragma once

#include <string>

namespace acaciaslip::app {

/// Runs a node until it is stopped by a signal or a drain request.
/// \param settingsFile path of the node's node.yaml
/// \return the process's exit code
[[nodiscard]] int serve(const std::string& settingsFile);

} // namespace acaciaslip::app
