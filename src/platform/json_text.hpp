#pragma once

#include <string_view>

#include <nlohmann/json.hpp>

namespace acaciaslip::platform {

/// Parses JSON that any writer may have stored. Copying a value is recursive, so deeply nested text is rejected.
/// \throws nlohmann::json::parse_error if the text is not JSON, std::invalid_argument if it is nested too deep
[[nodiscard]] nlohmann::json parseJsonOrThrow(std::string_view text);

/// Like `parseJsonOrThrow`, but returns a discarded value instead of throwing.
[[nodiscard]] nlohmann::json parseJson(std::string_view text);

} // namespace acaciaslip::platform
