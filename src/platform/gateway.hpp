#pragma once

namespace acaciaslip::platform {

/// Runs this host's gateway on the platform until it is told to stop.
/// \return the process's exit code
[[nodiscard]] int runGateway();

} // namespace acaciaslip::platform
