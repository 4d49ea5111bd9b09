#pragma once

#include "coordination/memory_budget.hpp"
#include "coordination/node.hpp"
#include "protocol/fleet_settings_reader.hpp"
#include "state/node_settings.hpp"
#include "transport/loop/event_queue.hpp"
#include "transport/loop/process_loop.hpp"

#include <functional>
#include <memory>

#include <absl/status/status.h>

namespace acaciaslip::transport::loop {

/// A running node. Its event loop converts socket activity into events for the node and carries out the effects that
/// the node returns.
class node_daemon {
public:
    explicit node_daemon(const state::node_settings& settings);
    ~node_daemon();
    node_daemon(const node_daemon&) = delete;
    node_daemon& operator=(const node_daemon&) = delete;

    /// Listens on all configured addresses.
    /// \return the first error if an address cannot be bound
    [[nodiscard]] absl::Status start();

    /// Runs until a graceful shutdown has finished.
    void run() { m_process.run(); }

    /// Starts a graceful shutdown. Must be called on the loop's thread.
    void drain() { post(coordination::drain_requested {}); }

    void log(const coordination::log_event& event) { m_process.log().write(event); }
    /// Sets a callback that runs before the loop ends, so that other components can close their handles on it.
    void setCloseCallback(std::function<void()> closing) { m_closing = std::move(closing); }
    [[nodiscard]] uv_loop_t* loop() noexcept { return m_process.handle(); }

private:
    struct executor;
    struct parts;

    void post(coordination::event happened) { m_queue.post(std::move(happened)); }
    void handle(const coordination::event& happened);
    void tick();
    void probe(const coordination::probe_server& wanted);
    void fetch(const coordination::fetch_value& wanted);
    void fetchFromPlatform(const coordination::fetch_value& wanted);
    void handleFetchedValue(
        const coordination::fetch_value& wanted, std::optional<coordination::value_received> received);
    void close();

    state::node_settings m_settings;
    std::uint64_t m_incarnation;
    protocol::fleet_settings_cache m_values;
    coordination::node m_node;
    coordination::random_generator m_random;
    coordination::effect_list m_effects;
    process_loop m_process;
    std::shared_ptr<coordination::memory_budget> m_memory; ///< for requests and answers in hand
    event_queue<coordination::event> m_queue;
    std::function<void()> m_closing;
    std::unique_ptr<parts> m_parts;
    bool m_closed = false;
};

} // namespace acaciaslip::transport::loop
