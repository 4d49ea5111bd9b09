#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace acaciaslip::app {

/// A network address: a host name or IP address, and a port.
struct address {
    std::string host;
    int port = 0;
};

/// Parses "host:port".
/// \return the address, or an error that states why the text is invalid
[[nodiscard]] absl::StatusOr<address> parseAddress(std::string_view text);

} // namespace acaciaslip::app
