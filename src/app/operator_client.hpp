#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace acaciaslip::app {

/// Fetches a node's dump from its operator address.
/// \return the dump, or an error that states what to check
[[nodiscard]] absl::StatusOr<nlohmann::json> fetchDump(const std::string& address);

/// Requests the graceful shutdown of a node.
[[nodiscard]] absl::Status requestDrain(const std::string& address);

/// Result of fetching one node's dump.
struct node_answer {
    std::string address;
    absl::StatusOr<nlohmann::json> dump;
};

/// Fetches the dumps of several nodes concurrently.
/// \return a result for each address, in the same order
[[nodiscard]] std::vector<node_answer> fetchDumps(const std::vector<std::string>& addresses);

} // namespace acaciaslip::app
