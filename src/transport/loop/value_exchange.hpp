#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "transport/loop/tcp_listener.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <absl/container/flat_hash_map.h>

namespace acaciaslip::transport::loop {

/// Exchanges published values with other nodes over TCP, with one request per connection, in length-prefixed frames.
class value_exchange {
public:
    using event_sink = std::function<void(coordination::event)>;
    /// Called with the peer's response, or with nothing if the read failed or timed out.
    using callback = std::function<void(std::optional<coordination::value_received>)>;

    value_exchange(uv_loop_t* loop, event_sink events);
    ~value_exchange();
    value_exchange(const value_exchange&) = delete;
    value_exchange& operator=(const value_exchange&) = delete;

    /// \param address "ip:port" that other nodes connect to
    /// \return an error if the address is malformed or cannot be bound
    [[nodiscard]] absl::Status listen(const std::string& address) { return m_listener.listen(address); }

    /// Sends the response to a node that has requested a value.
    void reply(const coordination::reply_with_value& served);

    /// Reads a value from another node.
    void fetch(const coordination::fetch_value& wanted, callback done);

    /// Closes the listener and all connections. No callback is called afterwards.
    void close();

private:
    struct peer_connection;

    void accept(uv_stream_t* listener);
    void answerRequest(std::uint64_t token, const std::string& frame);
    void finishFetch(std::uint64_t token, const std::optional<std::string>& frame);
    void handleReceived(std::uint64_t token, std::string_view bytes);
    void end(std::uint64_t token);
    [[nodiscard]] std::shared_ptr<peer_connection> addConnection(std::uint64_t token, std::size_t frameLimit);

    uv_loop_t* m_loop;
    event_sink m_events;
    tcp_listener m_listener;
    std::uint64_t m_nextToken = 1;
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<peer_connection>> m_connections; ///< in both directions
    std::size_t m_openServed = 0; ///< open connections from other nodes
};

} // namespace acaciaslip::transport::loop
