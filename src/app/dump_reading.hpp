#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace acaciaslip::app {

/// Reads a string of a dump; "-" when it is missing, as in a dump of another version.
[[nodiscard]] std::string readText(const nlohmann::json& object, std::string_view key);

/// Reads a number of a dump; nullopt when it is missing or null.
[[nodiscard]] std::optional<double> parseUnsigned(const nlohmann::json& object, std::string_view key);

/// Reads an integer of a dump as text; "-" when it is missing or null.
[[nodiscard]] std::string readCount(const nlohmann::json& object, std::string_view key);

/// Reads a flag of a dump; false when it is missing.
[[nodiscard]] bool readFlag(const nlohmann::json& object, std::string_view key);

/// Reads an object of a dump; an empty object when it is missing.
[[nodiscard]] const nlohmann::json& readObject(const nlohmann::json& object, std::string_view key);

/// Formats a duration for display, for example "250 ms", "3.4 s", "12 min".
[[nodiscard]] std::string formatDuration(std::optional<double> milliseconds);

/// Returns why a server receives no new requests, or fewer than its capacity; empty when its use is unrestricted.
[[nodiscard]] std::string findRestriction(const nlohmann::json& server);

/// Counts the peers from which a node has received a message within the last 5 s.
[[nodiscard]] std::size_t countRecentPeers(const nlohmann::json& dump);

/// Returns the problems in one node's dump that need an operator's attention, the most severe first.
[[nodiscard]] std::vector<std::string> findProblems(const nlohmann::json& dump);

} // namespace acaciaslip::app
