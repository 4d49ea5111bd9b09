#pragma once

#include "transport/decision_thread.hpp"
#include "transport/exchange.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>
#include <httplib.h>

namespace acaciaslip::transport {

/// The port that callers reach: reads whole requests, waits for the node's word, writes whole answers.
class caller_edge {
public:
    caller_edge(decision_thread& decisions, const state::node_settings& settings);

    /// Binds the port and starts to take connections.
    [[nodiscard]] absl::Status start();

    /// Wakes the thread of the request that a result is for.
    void finish(caller_result result);

    /// Takes no more connections; lets running requests end.
    void stop();

private:
    void carry(const httplib::Request& request, httplib::Response& response);

    decision_thread& m_decisions;
    state::node_settings m_settings;
    httplib::Server m_server;
    std::thread m_listener;
    std::atomic<std::uint64_t> m_nextRequest { 1 };
    std::mutex m_mutex;
    absl::flat_hash_map<state::request_id, std::shared_ptr<exchange>> m_open;
};

} // namespace acaciaslip::transport
