#pragma once

#include <iosfwd>
#include <string>

namespace acaciaslip::app {

/// Traces one request through the logs of any number of hosts: prints the request's log lines, preceded by the state of
/// the host that handled it as logged up to then.
/// \param id the caller's id of the request
/// \return the process's exit code; 1 when no log line has the id
[[nodiscard]] int explainRequest(const std::string& id, std::istream& logs, std::ostream& out);

} // namespace acaciaslip::app
