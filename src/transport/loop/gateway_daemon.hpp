#pragma once

#include "coordination/gateway/node.hpp"
#include "protocol/server_http_messages.hpp"
#include "transport/loop/caller_server.hpp"
#include "transport/loop/event_queue.hpp"
#include "transport/loop/fleet_service.hpp"
#include "transport/loop/gateway_metrics.hpp"
#include "transport/loop/http_service.hpp"
#include "transport/loop/peer_transport.hpp"
#include "transport/loop/process_loop.hpp"
#include "transport/loop/server_connections.hpp"
#include "transport/loop/timer.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <absl/status/status.h>
#include <uv.h>

namespace acaciaslip::transport::loop {

/// Settings of a gateway process.
struct gateway_settings {
    coordination::gateway::node_settings node;
    protocol::server_http_format format;
    std::string callers; ///< "ip:port" that accepts requests of callers
    std::string health; ///< "ip:port" of the readiness check of the platform's load balancer
    std::string operators; ///< "ip:port" for metrics, dumps and fleet fetches; the port is the same on all hosts
    int peerPort = 0; ///< UDP port for heartbeats, the same on all hosts; 0 disables them
    std::uint64_t memoryBytes = 167772160; ///< memory that the process may use in total
    coordination::log_level lowestLevel = coordination::log_level::info;
};

/// A gateway process. Its event loop converts socket activity into events for the node and carries out the effects that
/// the node returns.
class gateway_daemon {
public:
    /// Callbacks that watch the store for the node.
    struct store_watcher {
        std::function<void(const coordination::gateway::watch_store&)> watch;
        std::function<void()> reread;
        std::function<std::uint64_t()> calls; ///< number of store calls since the start of the process
        std::function<std::uint64_t()> uselessAnswers; ///< see `gateway_process_gauges`
        std::function<void()> close; ///< called before the loop ends
    };

    explicit gateway_daemon(gateway_settings settings);
    ~gateway_daemon();
    gateway_daemon(const gateway_daemon&) = delete;
    gateway_daemon& operator=(const gateway_daemon&) = delete;

    /// Listens on all configured addresses.
    /// \return the first error if an address cannot be bound
    [[nodiscard]] absl::Status start();

    /// Runs until the node has stopped.
    void run() { m_process.run(); }

    /// Passes an event to the node: at once, or after the event that is being handled.
    void post(coordination::gateway::event happened) { m_queue.post(std::move(happened)); }

    void log(const coordination::log_event& event) { m_process.log().write(event); }
    void setStore(store_watcher store) { m_store = std::move(store); }
    /// Sets a callback that runs before the loop ends, so that other components can close their handles on it.
    void setCloseCallback(std::function<void()> closing) { m_closing = std::move(closing); }
    void setLimits(const coordination::gateway::fleet_limits& bounds) { m_node.settings.limits = bounds; }

    [[nodiscard]] uv_loop_t* loop() noexcept { return m_process.handle(); }
    [[nodiscard]] const coordination::gateway::gateway_node& node() const noexcept { return m_node; }
    [[nodiscard]] int callersPort() const { return m_parts->callers.port(); }
    [[nodiscard]] int operatorsPort() const { return m_parts->operators.port(); }

private:
    struct executor;
    struct parts {
        parts(gateway_daemon& owner, const gateway_settings& settings);

        caller_server callers;
        server_connections servers;
        http_service health;
        http_service operators;
        peer_transport peers;
        timer wakeUp;
        timer exit;
    };

    void handle(const coordination::gateway::event& happened);
    void applyChanges();
    void scheduleWakeUp();
    void finishWhenIdle();
    void close();
    service_answer answerOperator(const protocol::http::message& request);

    gateway_settings m_settings;
    coordination::gateway::gateway_node m_node;
    coordination::random_generator m_random;
    std::shared_ptr<coordination::memory_budget> m_memory; ///< for requests and answers in hand
    process_loop m_process;
    event_queue<coordination::gateway::event> m_queue;
    coordination::gateway::effect_list m_effects;
    fleet_service m_fleet { [this](auto event) { post(std::move(event)); } };
    store_watcher m_store;
    std::function<void()> m_closing;
    std::unique_ptr<parts> m_parts;
    std::optional<state::time_point> m_wakeUpAt;
    const state::gateway::configuration* m_appliedConfig = nullptr;
    bool m_drainStarted = false;
    bool m_closed = false;
};

} // namespace acaciaslip::transport::loop
