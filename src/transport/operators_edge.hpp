#pragma once

#include "protocol/node_snapshot.hpp"
#include "transport/decision_thread.hpp"

#include <thread>

#include <absl/status/status.h>
#include <httplib.h>

namespace acaciaslip::transport {

/// The port that operators reach: health, dump, drain.
class operators_edge {
public:
    operators_edge(decision_thread& decisions, const state::node_settings& settings);

    /// Binds the port and starts to take connections.
    [[nodiscard]] absl::Status start();

    /// Takes no more connections; lets running requests end.
    void stop();

private:
    /// Copies the node a few servers at a time, so that no decision waits for the whole copy.
    [[nodiscard]] protocol::node_snapshot copyNode() const;

    decision_thread& m_decisions;
    state::node_settings m_settings;
    httplib::Server m_server;
    std::thread m_listener;
};

} // namespace acaciaslip::transport
