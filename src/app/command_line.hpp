#pragma once

namespace acaciaslip::app {

/// Runs the subcommand given on the command line.
/// \return the process's exit code: 0 success, 1 failure, 2 invalid command line
[[nodiscard]] int runCommandLine(int argc, char** argv);

} // namespace acaciaslip::app
