#pragma once

#include "state/request_table.hpp"

#include <string>
#include <string_view>

namespace acaciaslip::coordination {

/// Returns the key qualified by its service. Its length is bounded, regardless of the length that the caller sent.
[[nodiscard]] std::string scopedKey(state::service_index service, std::string_view key);

/// Claims a key for a request; other requests with the same key are refused until it is released.
/// \return false when the key is already claimed; nothing has been changed in that case
[[nodiscard]] bool claimKey(state::request_table& table, const std::string& key, state::request_id request);

/// Increments the holder count of a claimed key. Does nothing for an empty key.
void addKeyHolder(state::request_table& table, const std::string& key);

/// Decrements the holder count of a key and releases the key when it reaches zero. Does nothing for an empty key.
void releaseKey(state::request_table& table, const std::string& key);

} // namespace acaciaslip::coordination
