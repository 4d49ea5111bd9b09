#pragma once

#include "protocol/server_dialect.hpp"

namespace acaciaslip::platform {

/// How the platform's callers and servers are spoken to.
[[nodiscard]] protocol::server_dialect makeDialect();

} // namespace acaciaslip::platform
