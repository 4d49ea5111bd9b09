#pragma once

#include "state/peer_message.hpp"

#include <cstddef>

namespace acaciaslip::coordination {

/// The largest datagram payload; with its headers it fits every usual link, so that it is never cut into fragments.
inline constexpr std::size_t maxDatagramBytes = 1200;
/// Bytes that the IP and UDP headers add to a datagram.
inline constexpr std::size_t datagramHeaderBytes = 28;
/// The longest host id, boot id or data centre name that a datagram may carry, in bytes.
inline constexpr std::size_t maxNameBytes = 128;
/// The longest address that a datagram may carry, in bytes.
inline constexpr std::size_t maxAddressBytes = 64;
/// The longest key of a published value that nodes may name to each other, in bytes.
inline constexpr std::size_t maxKeyBytes = 256;
/// The most loads, conditions, revisions or introduced hosts in one datagram, each.
inline constexpr std::size_t maxListEntries = 200;

/// An upper bound of the encoded size of a message, without IP and UDP headers, in bytes.
/// \details This layer does not encode; the bound follows the encoding's rules: a version byte, one byte for each
/// field's header, integers in as few groups of seven bits as hold them, strings with their length ahead.
[[nodiscard]] std::size_t boundMessageSize(const state::peer_message& message) noexcept;

/// How much one load adds to a message, at most, in bytes.
[[nodiscard]] std::size_t boundLoadSize(const state::load_delta& load) noexcept;
/// How much one condition change adds to a message, at most, in bytes.
[[nodiscard]] std::size_t boundConditionSize(const state::condition_change& change) noexcept;
/// How much one revision adds to a message, at most, in bytes.
[[nodiscard]] std::size_t boundRevisionSize(const state::value_revision& known) noexcept;
/// How much one introduced host adds to a message, at most, in bytes.
[[nodiscard]] std::size_t boundIntroductionSize(const state::introduced_host& host) noexcept;

} // namespace acaciaslip::coordination
