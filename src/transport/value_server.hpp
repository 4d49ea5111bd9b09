#pragma once

#include "coordination/effects.hpp"
#include "transport/address.hpp"
#include "transport/decision_thread.hpp"
#include "transport/worker_pool.hpp"

#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include <absl/status/status.h>
#include <thrift/transport/TServerSocket.h>

namespace acaciaslip::transport {

/// Serves published values to other nodes over TCP, one request a connection.
class value_server {
public:
    explicit value_server(decision_thread& decisions);
    value_server(const value_server&) = delete;
    value_server& operator=(const value_server&) = delete;
    ~value_server();

    /// Binds the port and starts to accept.
    [[nodiscard]] absl::Status start(const address& own);

    /// Hands a value to the thread that waits for it.
    void serve(coordination::serve_value served);

    /// Ends every thread. Safe to call twice.
    void stop();

private:
    using connection = std::shared_ptr<apache::thrift::transport::TTransport>;

    void accept(const std::stop_token& stopping);
    void carryOut(const connection& caller);
    [[nodiscard]] coordination::serve_value ask(coordination::value_requested requested);

    decision_thread& m_decisions;
    std::shared_ptr<apache::thrift::transport::TServerSocket> m_listener;
    std::mutex m_mutex;
    std::map<std::uint64_t, std::promise<coordination::serve_value>> m_waiting;
    std::uint64_t m_nextToken = 1;
    worker_pool<connection> m_workers;
    std::jthread m_acceptor;
};

} // namespace acaciaslip::transport
