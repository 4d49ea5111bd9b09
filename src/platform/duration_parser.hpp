#pragma once

#include "state/time.hpp"

#include <optional>
#include <string_view>

namespace acaciaslip::platform {

/// Parses a duration in the platform's format, a number and its unit: "1500ms" or "2.5s".
/// \return the duration, or nothing if the text is not a valid duration
[[nodiscard]] std::optional<state::duration> parseDuration(std::string_view text) noexcept;

} // namespace acaciaslip::platform
