#include "transport/connection_pool.hpp"

#include "transport/address.hpp"

#include <algorithm>

namespace acaciaslip::transport {

namespace {

constexpr std::chrono::seconds sweepInterval { 1 };

} // namespace

std::shared_ptr<server_connection> connection_pool::take(
    const std::string& address, std::uint32_t share, state::time_point now)
{
    const std::lock_guard lock(m_mutex);
    closeIdle(now);
    auto& server = m_servers[address];
    while (!server.idle.empty()) {
        auto last = std::move(server.idle.back());
        server.idle.pop_back();
        if (now - last.since <= m_mostIdle && last.connection->isReusable())
            return std::move(last.connection);
        --server.open;
    }
    if (server.open >= share)
        return nullptr;
    auto parsed = parseAddress(address);
    if (!parsed.ok())
        return nullptr;
    ++server.open;
    return std::make_shared<server_connection>(address, *std::move(parsed));
}

void connection_pool::giveBack(std::shared_ptr<server_connection> connection, bool poisoned, state::time_point now)
{
    const std::lock_guard lock(m_mutex);
    auto& server = m_servers[connection->name()];
    if (poisoned || !connection->isReusable())
        --server.open;
    else
        server.idle.push_back({ std::move(connection), now });
    closeIdle(now);
}

std::size_t connection_pool::openConnections()
{
    const std::lock_guard lock(m_mutex);
    std::size_t open = 0;
    for (const auto& [address, server] : m_servers)
        open += server.open;
    return open;
}

/// Closes what has been idle too long, and forgets servers without a connection.
void connection_pool::closeIdle(state::time_point now)
{
    if (now < m_nextSweep)
        return;
    m_nextSweep = now + sweepInterval;
    absl::erase_if(m_servers, [&](auto& entry) {
        auto& [idle, open] = entry.second;
        const auto fresh = std::find_if(
            idle.begin(), idle.end(), [&](const idle_connection& kept) { return now - kept.since <= m_mostIdle; });
        open -= static_cast<std::uint32_t>(fresh - idle.begin());
        idle.erase(idle.begin(), fresh);
        return open == 0;
    });
}

} // namespace acaciaslip::transport
