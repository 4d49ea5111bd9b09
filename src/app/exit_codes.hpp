#pragma once

namespace acaciaslip::app {

inline constexpr int exitDone = 0;
inline constexpr int exitSaidNo = 1; ///< what was asked for was refused or failed
inline constexpr int exitUsage = 2; ///< the command line was wrong

} // namespace acaciaslip::app
