#pragma once

#include <iosfwd>
#include <string>

namespace acaciaslip::app {

/// Prints one request's way from the logs of any number of hosts: its own lines, and before them what the host that
/// carried it believed then.
/// \param id the caller's id of the request
/// \return the process's exit code; 1 when no line bears the id
[[nodiscard]] int explainRequest(const std::string& id, std::istream& logs, std::ostream& out);

} // namespace acaciaslip::app
