#pragma once

#include "state/peer_message.hpp"

#include <cstddef>

namespace acaciaslip::coordination {

/// Maximum datagram payload in bytes. With headers it is below the MTU of every common link, which avoids IP
/// fragmentation.
inline constexpr std::size_t maxDatagramBytes = 1200;
/// Bytes that the IP and UDP headers add to a datagram.
inline constexpr std::size_t datagramHeaderBytes = 28;
/// Maximum length of a host id, boot id or data centre name in a datagram, in bytes.
inline constexpr std::size_t maxNameBytes = 128;
/// Maximum length of an address in a datagram, in bytes.
inline constexpr std::size_t maxAddressBytes = 64;
/// Maximum length of a published value's key in messages between nodes, in bytes.
inline constexpr std::size_t maxKeyBytes = 256;
/// Maximum number of entries in each list of a datagram: loads, conditions, revisions, introduced hosts.
inline constexpr std::size_t maxListEntries = 200;

/// An upper bound of the encoded size of a message, without IP and UDP headers, in bytes.
/// \details Messages are encoded in another layer. The bound follows the rules of the encoding: a version byte, one
/// byte per field header, integers as variable-length groups of seven bits, strings prefixed with their length.
[[nodiscard]] std::size_t boundMessageSize(const state::peer_message& message) noexcept;

/// An upper bound of the bytes that one load adds to a message.
[[nodiscard]] std::size_t boundLoadSize(const state::load_delta& load) noexcept;
/// An upper bound of the bytes that one condition change adds to a message.
[[nodiscard]] std::size_t boundConditionSize(const state::condition_change& change) noexcept;
/// An upper bound of the bytes that one revision adds to a message.
[[nodiscard]] std::size_t boundRevisionSize(const state::value_revision& known) noexcept;
/// An upper bound of the bytes that one introduced host adds to a message.
[[nodiscard]] std::size_t boundIntroductionSize(const state::introduced_host& host) noexcept;

} // namespace acaciaslip::coordination
