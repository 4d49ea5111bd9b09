#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace acaciaslip::coordination {

/// Fraction of a server's connections that is divided among the listed entry hosts. The rest is reserved for hosts
/// that have been replaced but are still listed.
inline constexpr double usableConnectionFraction = 0.9;

/// Maximum number of connections that one entry host may hold to a server.
/// \param connections maximum number of connections of the server, over all entry hosts
/// \param entryHosts number of listed entry hosts, which a partition or an outage does not change
/// \return at least 1
[[nodiscard]] constexpr std::uint32_t connectionLimitPerHost(std::uint32_t connections, std::size_t entryHosts) noexcept
{
    const auto usable = static_cast<std::uint32_t>(connections * usableConnectionFraction);
    const auto hosts = static_cast<std::uint32_t>(std::max<std::size_t>(entryHosts, 1));
    return std::max<std::uint32_t>(usable / hosts, 1);
}

} // namespace acaciaslip::coordination
