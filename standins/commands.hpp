#pragma once

namespace acaciaslip::standins {

/// Runs a server that answers like a users' back end. Returns the exit code.
[[nodiscard]] int runServer(int argc, const char** argv);

/// Runs a configuration service that answers like the platform's. Returns the exit code.
[[nodiscard]] int runPlatform(int argc, const char** argv);

/// Sends requests at a set rate and prints what came back. Returns the exit code.
[[nodiscard]] int runLoad(int argc, const char** argv);

/// Measures what a node adds to a server's own answers. Returns the exit code.
[[nodiscard]] int runCompare(int argc, const char** argv);

} // namespace acaciaslip::standins
