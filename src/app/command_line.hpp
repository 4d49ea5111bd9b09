#pragma once

namespace acaciaslip::app {

/// Runs the subcommand that the command line names.
/// \return the process's exit code: 0 done, 1 said no, 2 usage
[[nodiscard]] int runCommandLine(int argc, char** argv);

} // namespace acaciaslip::app
