#pragma once

#include <string>
#include <vector>

namespace acaciaslip::app {

/// Prints one node's dump. \return the exit code
[[nodiscard]] int dumpNode(const std::string& address, bool json);

/// Prints the state of the fleet as the given nodes see it. \return the exit code: 1 when a node did not answer
[[nodiscard]] int showStatus(const std::vector<std::string>& addresses, bool json);

/// Starts a node's planned stop. \return the exit code
[[nodiscard]] int drainNode(const std::string& address);

} // namespace acaciaslip::app
