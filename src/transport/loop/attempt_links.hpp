#pragma once

#include "coordination/effects.hpp"
#include "coordination/events.hpp"
#include "protocol/http/parsing.hpp"
#include "transport/loop/http_fetcher.hpp"
#include "transport/loop/http_link.hpp"
#include "transport/loop/timer.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace acaciaslip::transport::loop {

/// Sends requests to servers over kept connections, at most this node's share of each server's.
///
/// A connection that was idle for some seconds is not used again: its server may be about to close it, and a request
/// written then would be in doubt.
class attempt_links {
public:
    using event_sink = std::function<void(coordination::event)>;

    /// \param attemptPrefix makes attempt ids unique over all nodes and starts
    /// \param events takes each attempt's end
    attempt_links(
        uv_loop_t* loop, std::string attemptPrefix, const protocol::http::message_limits& limits, event_sink events);
    ~attempt_links();
    attempt_links(const attempt_links&) = delete;
    attempt_links& operator=(const attempt_links&) = delete;

    /// Starts an attempt; one that finds the share of connections in use ends at once as no_connection.
    void send(const coordination::send_attempt& wanted);

    /// Ends an attempt whose answer nobody waits for. One that has written nothing writes nothing; of one that has,
    /// the connection is closed and the server told.
    void cancel(state::attempt_id id);

    /// Sets how long a connection may be idle and still be used.
    void setMostIdle(state::duration span) noexcept { m_mostIdle = span; }

    [[nodiscard]] std::size_t openConnections() const noexcept; ///< idle and in use, to every server

    /// Closes everything.
    void close();

private:
    struct server_link;
    using link_pointer = std::shared_ptr<server_link>;

    /// The connections to one address.
    struct server_links {
        std::vector<link_pointer> idle; ///< the longest idle first
        std::uint32_t open = 0; ///< idle and in use
    };

    [[nodiscard]] link_pointer takeLink(const coordination::send_attempt& wanted);
    [[nodiscard]] link_pointer openLink(const std::string& address);
    void keep(const link_pointer& link);
    void drop(const link_pointer& link);
    void closeIdle();
    void noteAnswer(const link_pointer& link, protocol::http::message answer);
    void noteFailure(const link_pointer& link, link_failure reason);
    void noteDeadline(const link_pointer& link);
    void finish(const link_pointer& link, state::attempt_outcome outcome);
    void finish(const coordination::send_attempt& wanted, state::attempt_outcome outcome);

    uv_loop_t* m_loop;
    std::string m_attemptPrefix;
    protocol::http::message_limits m_limits;
    event_sink m_events;
    state::duration m_mostIdle = std::chrono::seconds { 4 }; ///< servers close after 5 s at the earliest
    absl::flat_hash_map<std::string, server_links> m_servers; ///< by address
    absl::flat_hash_map<state::attempt_id, link_pointer> m_running;
    http_fetcher m_cancels;
    timer m_sweep;
};

} // namespace acaciaslip::transport::loop
