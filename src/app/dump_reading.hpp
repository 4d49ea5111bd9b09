#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace acaciaslip::app {

/// Reads a text of a dump; "-" when it is missing, as in a dump of another version.
[[nodiscard]] std::string readText(const nlohmann::json& object, std::string_view key);

/// Reads a number of a dump; nothing when it is missing or null.
[[nodiscard]] std::optional<double> readNumber(const nlohmann::json& object, std::string_view key);

/// Reads a whole number of a dump as text; "-" when it is missing or null.
[[nodiscard]] std::string readCount(const nlohmann::json& object, std::string_view key);

/// Reads a flag of a dump; false when it is missing.
[[nodiscard]] bool readFlag(const nlohmann::json& object, std::string_view key);

/// Reads a part of a dump; an empty object when it is missing.
[[nodiscard]] const nlohmann::json& readPart(const nlohmann::json& object, std::string_view key);

/// Writes a span for a person, for example "250 ms", "3.4 s", "12 min".
[[nodiscard]] std::string formatAge(std::optional<double> milliseconds);

/// Why a server gets no new work, or less than it could bear; empty when it gets all that it can bear.
[[nodiscard]] std::string findHandicap(const nlohmann::json& server);

/// How many peers a node has heard lately.
[[nodiscard]] std::size_t countHeard(const nlohmann::json& dump);

/// What a person should look at first in one node's dump, the worst first.
[[nodiscard]] std::vector<std::string> findTroubles(const nlohmann::json& dump);

} // namespace acaciaslip::app
