#pragma once

namespace acaciaslip::app {

inline constexpr int exitSuccess = 0;
inline constexpr int exitFailed = 1; ///< the request was refused or failed
inline constexpr int exitUsage = 2; ///< the command line was invalid

} // namespace acaciaslip::app
