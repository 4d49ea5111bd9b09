#include "app/address.hpp"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

namespace acaciaslip::app {

absl::StatusOr<address> parseAddress(std::string_view text)
{
    constexpr int highestPort = 65535;
    const auto colon = text.rfind(':');
    address parsed;
    if (colon == std::string_view::npos || colon == 0)
        return absl::InvalidArgumentError(fmt::format("'{}' is not an address; expected IP:PORT", text));
    const std::string port(text.substr(colon + 1));
    if (!absl::SimpleAtoi(port, &parsed.port) || parsed.port < 1 || parsed.port > highestPort)
        return absl::InvalidArgumentError(fmt::format("'{}' has no port in the range 1 to {}", text, highestPort));
    parsed.host = std::string(text.substr(0, colon));
    return parsed;
}

} // namespace acaciaslip::app
