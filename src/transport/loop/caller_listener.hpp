#pragma once

#include "transport/loop/caller_connection.hpp"
#include "transport/loop/tcp_listener.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include <absl/status/status.h>

namespace acaciaslip::transport::loop {

/// What a listener tells its owner of all its connections.
struct listener_callbacks {
    /// A request was read whole.
    std::function<void(state::request_id, const std::shared_ptr<caller_connection>&, protocol::http::message)> arrived;
    std::function<void(state::request_id)> gone; ///< nobody waits for this request's answer any more
    std::function<std::string(int status, std::string_view reason)> refuse; ///< see `caller_callbacks`
};

/// A port and the connections that came to it.
class caller_listener {
public:
    caller_listener(uv_loop_t* loop, listener_callbacks callbacks);

    /// \param address "ip:port"; port 0 lets the system choose
    [[nodiscard]] absl::Status listen(const std::string& address);
    [[nodiscard]] int port() const { return m_listener.port(); }

    /// What new connections may take up; open ones keep what they have.
    void setLimits(const connection_limits& limits) { m_limits = limits; }
    /// How many connections may be open; further ones are told 503.
    void setMostConnections(std::size_t most) noexcept { m_mostConnections = most; }

    [[nodiscard]] std::size_t openConnections() const noexcept { return m_connections.size(); }
    [[nodiscard]] std::uint64_t accepted() const noexcept { return m_accepted; } ///< connections, since the start

    /// Calls back with every open connection; the call may close it.
    void forEach(const std::function<void(caller_connection&)>& call) const;

    /// Whether every answer is with the system.
    [[nodiscard]] bool isQuiet() const;

    /// Takes no further connections.
    void stopListening() { m_listener.close(); }

    /// Closes everything at once.
    void close();

private:
    void accept(uv_stream_t* listener);

    listener_callbacks m_callbacks;
    tcp_listener m_listener;
    connection_limits m_limits;
    std::size_t m_mostConnections = SIZE_MAX;
    std::unordered_set<std::shared_ptr<caller_connection>> m_connections;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_accepted = 0;
};

} // namespace acaciaslip::transport::loop
