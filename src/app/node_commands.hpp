#pragma once

#include <string>
#include <vector>

namespace acaciaslip::app {

/// Prints one node's dump.
/// \return the exit code
[[nodiscard]] int dumpNode(const std::string& address, bool json);

/// Prints the state of the fleet according to the given nodes.
/// \return the exit code: 1 when a node did not answer
[[nodiscard]] int showStatus(const std::vector<std::string>& addresses, bool json);

/// Starts the graceful shutdown of a node.
/// \return the exit code
[[nodiscard]] int drainNode(const std::string& address);

} // namespace acaciaslip::app
