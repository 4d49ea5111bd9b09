#pragma once

#include "state/fleet.hpp"
#include "state/peer_message.hpp"

#include <optional>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace acaciaslip::coordination {

/// Servers by the short form of their ids.
///
/// A tag that two known servers share names neither: loads of such servers are not told.
struct server_tags {
    absl::flat_hash_map<state::server_tag, std::optional<state::server_index>> byTag;
    std::vector<state::server_tag> byServer; ///< by server index
};

/// The short form of a server's id.
[[nodiscard]] state::server_tag tagOf(std::string_view id) noexcept;

/// Lists the tags of every server that the fleet knows.
[[nodiscard]] server_tags makeServerTags(const state::fleet& fleet);

/// Finds the one server that a tag names.
/// \return nothing for an unknown tag and for one that two servers share
[[nodiscard]] std::optional<state::server_index> findServer(const server_tags& tags, state::server_tag tag) noexcept;

} // namespace acaciaslip::coordination
