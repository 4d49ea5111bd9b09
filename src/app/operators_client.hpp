#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace acaciaslip::app {

/// Reads a node's dump from its operators' address.
/// \return the dump, or an error that says what to do
[[nodiscard]] absl::StatusOr<nlohmann::json> fetchDump(const std::string& address);

/// Starts a node's planned stop.
[[nodiscard]] absl::Status requestDrain(const std::string& address);

/// A node that was asked for its dump.
struct node_answer {
    std::string address;
    absl::StatusOr<nlohmann::json> dump;
};

/// Reads several nodes' dumps at a time. \return an answer for each address, in order
[[nodiscard]] std::vector<node_answer> fetchDumps(const std::vector<std::string>& addresses);

} // namespace acaciaslip::app
