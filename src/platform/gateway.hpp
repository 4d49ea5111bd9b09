#pragma once

namespace acaciaslip::platform {

/// Runs the gateway of this host until SIGTERM or SIGINT.
/// \return exit code of the process
[[nodiscard]] int runGateway();

} // namespace acaciaslip::platform
