#pragma once

#include "coordination/events.hpp"

#include <optional>
#include <string_view>

namespace acaciaslip::protocol {

/// Parses the body of a server's health response.
/// \return the reported state, or std::nullopt when the text is not a valid health response
[[nodiscard]] std::optional<coordination::reported_health> readHealth(std::string_view text);

/// Parses the body of a server's load response. A boot id of more than `coordination::maxNameBytes` is replaced by its
/// digest.
/// \return the reported load, or std::nullopt when the text is not a valid load response
[[nodiscard]] std::optional<coordination::reported_load> parseLoad(std::string_view text);

} // namespace acaciaslip::protocol
