#pragma once

#include "protocol/server_http_messages.hpp"

namespace acaciaslip::platform {

/// Returns the header names and formats used by the platform's callers and servers.
[[nodiscard]] protocol::server_http_format makeHttpFormat();

} // namespace acaciaslip::platform
