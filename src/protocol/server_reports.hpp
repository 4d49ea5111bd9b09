#pragma once

#include "coordination/events.hpp"

#include <optional>
#include <string_view>

namespace acaciaslip::protocol {

/// Reads a server's health answer.
/// \return the state, or nothing when the text is not a health answer
[[nodiscard]] std::optional<coordination::reported_health> readHealth(std::string_view text);

/// Reads a server's load answer.
/// \return the load, or nothing when the text is not a load answer
[[nodiscard]] std::optional<coordination::reported_load> readLoad(std::string_view text);

} // namespace acaciaslip::protocol
