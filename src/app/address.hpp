#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace acaciaslip::app {

/// A host that is called, by name or IP number, and a port.
struct address {
    std::string host;
    int port = 0;
};

/// Reads "host:port".
/// \return the address, or an error that says what is wrong with it
[[nodiscard]] absl::StatusOr<address> parseAddress(std::string_view text);

} // namespace acaciaslip::app
