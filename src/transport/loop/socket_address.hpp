#pragma once

#include <string>

#include <absl/status/statusor.h>
#include <netinet/in.h>

namespace acaciaslip::transport::loop {

/// Parses an IPv4 address and port into the form that the socket calls take.
/// \param text "ip:port"
/// \return the address, or an InvalidArgument error if the text is malformed
[[nodiscard]] absl::StatusOr<sockaddr_in> parseAddress(const std::string& text);

/// Formats an address as "ip:port".
[[nodiscard]] std::string formatAddress(const sockaddr_in& address);

} // namespace acaciaslip::transport::loop
