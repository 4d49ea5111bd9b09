#pragma once

#include "transport/server_connection.hpp"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace acaciaslip::transport {

/// Kept-alive connections to servers, at most a share of what each server bears.
///
/// A connection that was idle for some seconds is closed and not used again: its server may be about to close it,
/// and a request written then would be in doubt.
class connection_pool {
public:
    /// \param mostIdle how long a connection may be idle and still be used
    explicit connection_pool(state::duration mostIdle = std::chrono::seconds { 4 }) noexcept
        : m_mostIdle(mostIdle)
    {
    }

    /// Takes an idle connection or makes a new one, not yet connected.
    /// \param share connections this node may hold to the address
    /// \return the connection, or null when the share is in use or the address cannot be read
    [[nodiscard]] std::shared_ptr<server_connection> take(
        const std::string& address, std::uint32_t share, state::time_point now);

    /// Gives a connection back; a poisoned one is closed.
    void giveBack(std::shared_ptr<server_connection> connection, bool poisoned, state::time_point now);

    /// Connections that are open or about to be, to every server.
    [[nodiscard]] std::size_t openConnections();

private:
    struct idle_connection {
        std::shared_ptr<server_connection> connection;
        state::time_point since;
    };
    struct server_connections {
        std::vector<idle_connection> idle; ///< the longest idle first
        std::uint32_t open = 0; ///< idle and in use
    };

    void closeIdle(state::time_point now);

    state::duration m_mostIdle;
    std::mutex m_mutex;
    absl::flat_hash_map<std::string, server_connections> m_servers;
    state::time_point m_nextSweep;
};

} // namespace acaciaslip::transport
