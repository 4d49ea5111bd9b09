#pragma once

#include "state/fleet.hpp"
#include "state/peer_message.hpp"

#include <optional>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace acaciaslip::coordination {

/// Lookup of servers by tag, the short form of their ids.
///
/// A tag that two known servers share identifies neither of them, and the loads of such servers are not sent to peers.
struct server_tags {
    absl::flat_hash_map<state::server_tag, std::optional<state::server_index>> byTag;
    std::vector<state::server_tag> byServer; ///< indexed by server index
};

/// Computes the short form of a server's id.
[[nodiscard]] state::server_tag tagOf(std::string_view id) noexcept;

/// Builds the tags of all known servers of the fleet.
[[nodiscard]] server_tags makeServerTags(const state::fleet& fleet);

/// Finds the server with a tag.
/// \return the server, or nothing when the tag is unknown or shared by two servers
[[nodiscard]] std::optional<state::server_index> findServer(const server_tags& tags, state::server_tag tag) noexcept;

} // namespace acaciaslip::coordination
