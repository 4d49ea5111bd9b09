#include "coordination/server_tags.hpp"

#include <xxhash.h>

namespace acaciaslip::coordination {

state::server_tag tagOf(std::string_view id) noexcept
{
    return XXH32(id.data(), id.size(), 0);
}

server_tags makeServerTags(const state::fleet& fleet)
{
    server_tags tags;
    tags.byTag.reserve(fleet.servers.size());
    for (state::server_index index = 0; index < fleet.servers.size(); ++index) {
        tags.byServer.push_back(tagOf(fleet.servers[index].id));
        const auto [position, added] = tags.byTag.try_emplace(tags.byServer.back(), index);
        if (!added)
            position->second = std::nullopt;
    }
    return tags;
}

std::optional<state::server_index> findServer(const server_tags& tags, state::server_tag tag) noexcept
{
    const auto found = tags.byTag.find(tag);
    return found == tags.byTag.end() ? std::nullopt : found->second;
}

} // namespace acaciaslip::coordination
