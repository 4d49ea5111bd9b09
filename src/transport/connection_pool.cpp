#include "transport/connection_pool.hpp"

#include "transport/address.hpp"

namespace acaciaslip::transport {

std::unique_ptr<server_connection> connection_pool::take(const std::string& address, std::uint32_t share)
{
    const std::lock_guard lock(m_mutex);
    auto& server = m_servers[address];
    while (!server.idle.empty()) {
        auto connection = std::move(server.idle.back());
        server.idle.pop_back();
        if (connection->isReusable())
            return connection;
        --server.open;
    }
    if (server.open >= share)
        return nullptr;
    const auto parsed = parseAddress(address);
    if (!parsed.ok())
        return nullptr;
    ++server.open;
    return std::make_unique<server_connection>(address, parsed->ip, parsed->port);
}

void connection_pool::giveBack(std::unique_ptr<server_connection> connection, bool poisoned)
{
    const std::lock_guard lock(m_mutex);
    auto& server = m_servers[connection->name()];
    if (poisoned || !connection->isReusable())
        --server.open;
    else
        server.idle.push_back(std::move(connection));
}

} // namespace acaciaslip::transport
