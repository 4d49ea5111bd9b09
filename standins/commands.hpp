#pragma once

namespace acaciaslip::standins {

/// Runs a stand-in for a backend server. Returns the exit code.
[[nodiscard]] int runServer(int argc, const char** argv);

/// Runs a stand-in for the platform's configuration service. Returns the exit code.
[[nodiscard]] int runPlatform(int argc, const char** argv);

/// Sends requests at a fixed rate and prints the answers by status and verdict, and latency quantiles. Returns the exit
/// code.
[[nodiscard]] int runLoad(int argc, const char** argv);

/// Measures the latency that a node adds to a server's answers. Returns the exit code.
[[nodiscard]] int runCompare(int argc, const char** argv);

} // namespace acaciaslip::standins
