#pragma once

#include "protocol/server_dialect.hpp"

namespace acaciaslip::platform {

/// Returns the header names and formats used by the platform's callers and servers.
[[nodiscard]] protocol::server_dialect makeDialect();

} // namespace acaciaslip::platform
