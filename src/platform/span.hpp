#pragma once

#include "state/time.hpp"

#include <optional>
#include <string_view>

namespace acaciaslip::platform {

/// Reads a span of time as the platform writes it: a number and its unit, "1500ms" or "2.5s".
/// \return the span, or nothing when the text is none
[[nodiscard]] std::optional<state::duration> readSpan(std::string_view text) noexcept;

} // namespace acaciaslip::platform
