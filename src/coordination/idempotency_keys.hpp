#pragma once

#include "state/request_ledger.hpp"

#include <string>
#include <string_view>

namespace acaciaslip::coordination {

/// Names a key within its service, in bounded length whatever a caller sends.
[[nodiscard]] std::string scopedKey(state::service_index service, std::string_view key);

/// Takes a key for a request; every other request with it is refused until the key is free.
/// \return false when another holds it; nothing has changed then
[[nodiscard]] bool claimKey(state::request_ledger& ledger, const std::string& key, state::request_id request);

/// Adds a holder to a key that a request has claimed. Does nothing for an empty key.
void holdKey(state::request_ledger& ledger, const std::string& key);

/// Takes a holder away; the last one frees the key. Does nothing for an empty key.
void releaseKey(state::request_ledger& ledger, const std::string& key);

} // namespace acaciaslip::coordination
