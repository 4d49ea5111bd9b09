#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace acaciaslip::coordination {

/// Part of a server's connections that the entry hosts use; the rest is for those replaced and not yet off the list.
inline constexpr double connectionHeadroom = 0.9;

/// How many connections one entry host may hold to a server.
/// \param connections that the server bears, over all entry hosts
/// \param entryHosts listed; a partition or an outage does not change it
/// \return at least 1
[[nodiscard]] constexpr std::uint32_t connectionShare(std::uint32_t connections, std::size_t entryHosts) noexcept
{
    const auto usable = static_cast<std::uint32_t>(connections * connectionHeadroom);
    const auto hosts = static_cast<std::uint32_t>(std::max<std::size_t>(entryHosts, 1));
    return std::max<std::uint32_t>(usable / hosts, 1);
}

} // namespace acaciaslip::coordination
