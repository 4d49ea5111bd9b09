#pragma once

#include "coordination/effects.hpp"
#include "state/node_settings.hpp"
#include "transport/decision_thread.hpp"
#include "transport/value_server.hpp"
#include "transport/worker_pool.hpp"

#include <string>
#include <thread>

#include <absl/status/status.h>

namespace acaciaslip::transport {

/// Talk with other nodes: datagrams over UDP, values over TCP, both on the peers' address.
///
/// One thread receives datagrams, one sends them; values are served by threads of their own.
class peer_link {
public:
    peer_link(decision_thread& decisions, const state::node_settings& settings);
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    ~peer_link();

    /// Binds the port and starts the threads.
    [[nodiscard]] absl::Status start();

    /// Queues a datagram; drops it when the ring is full.
    void tell(coordination::tell_peer wanted);

    /// Hands a value to the thread that waits for it.
    void serve(coordination::serve_value served) { m_values.serve(std::move(served)); }

    /// Ends every thread. Safe to call twice.
    void stop();

private:
    [[nodiscard]] absl::Status bindSocket(const std::string& ip, int port);
    void receive(const std::stop_token& stopping);
    void take(std::string_view bytes, const std::string& fromAddress);
    void send(const coordination::tell_peer& wanted) const;

    decision_thread& m_decisions;
    std::string m_address;
    int m_socket = -1;
    value_server m_values;
    worker_pool<coordination::tell_peer> m_sender;
    std::jthread m_receiver;
};

} // namespace acaciaslip::transport
