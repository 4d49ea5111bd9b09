#pragma once

#include "coordination/effects.hpp"
#include "transport/server_connection.hpp"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace acaciaslip::transport {

/// Kept-alive connections to servers, at most a share of what each server bears.
class connection_pool {
public:
    /// Takes an idle connection or opens a new one.
    /// \param share connections this node may hold to the address
    /// \return the connection, or null when the share is in use
    [[nodiscard]] std::unique_ptr<server_connection> take(const std::string& address, std::uint32_t share);

    /// Gives a connection back; a poisoned one is closed.
    void giveBack(std::unique_ptr<server_connection> connection, bool poisoned);

private:
    struct server_connections {
        std::vector<std::unique_ptr<server_connection>> idle;
        std::uint32_t open = 0;
    };

    std::mutex m_mutex;
    absl::flat_hash_map<std::string, server_connections> m_servers;
};

} // namespace acaciaslip::transport
