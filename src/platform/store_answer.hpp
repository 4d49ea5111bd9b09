#pragma once

#include "state/identifiers.hpp"

#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace acaciaslip::platform {

/// The store's answer to a list or watch call.
struct store_answer {
    state::revision asOf = 0; ///< revision of the store when it answered
    nlohmann::json items = nlohmann::json::array();
    std::optional<std::string> nextPageAfter; ///< last key of this page, if another page follows
};

/// Parses the body of an answer.
/// \param itemsField name of the list: "items" for a list call, "events" for a watch
/// \param previousKey key after which this page was requested; a page that ends at the same key would be requested
///     again and again
/// \return the answer, or an error that names the field that is missing, of the wrong type or contradictory
[[nodiscard]] absl::StatusOr<store_answer> readStoreAnswer(
    std::string_view body, const char* itemsField, std::string_view previousKey);

/// Encodes a key for a query, so that no character of it can end the parameter or the request line.
[[nodiscard]] std::string encodeQueryValue(std::string_view key);

} // namespace acaciaslip::platform
