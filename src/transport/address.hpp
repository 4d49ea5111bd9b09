#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace acaciaslip::transport {

/// An IP number and a port.
struct address {
    std::string ip;
    int port = 0;
};

/// Reads "ip:port".
/// \return the address, or an error that says what is wrong with it
[[nodiscard]] absl::StatusOr<address> parseAddress(std::string_view text);

} // namespace acaciaslip::transport
