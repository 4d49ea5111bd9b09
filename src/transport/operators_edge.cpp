#include "transport/operators_edge.hpp"

#include "protocol/dump.hpp"
#include "transport/address.hpp"
#include "transport/metrics.hpp"

#include <future>

#include <fmt/format.h>
#include <pthread.h>

namespace acaciaslip::transport {

namespace {

constexpr int statusUnavailable = 503;
constexpr auto replaceInvalid = nlohmann::json::error_handler_t::replace; ///< of text that is not UTF-8

} // namespace

operators_edge::operators_edge(decision_thread& decisions, const state::node_settings& settings)
    : m_decisions(decisions)
    , m_settings(settings)
{
    m_server.set_tcp_nodelay(true);
    m_server.set_socket_options([](socket_t socket) {
        // Without the library's SO_REUSEPORT, which lets two nodes share a port unnoticed.
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    m_server.Get("/health", [this](const httplib::Request&, httplib::Response& response) {
        std::promise<coordination::node_phase> phase;
        m_decisions.inspect([&](const coordination::node& node, state::time_point) { phase.set_value(node.phase); });
        const auto found = phase.get_future().get();
        if (found != coordination::node_phase::serving)
            response.status = statusUnavailable;
        response.set_content(
            fmt::format("{{\"state\":\"{}\"}}\n", state::findName(coordination::nodePhaseNames, found)),
            "application/json");
    });
    m_server.Get("/dump", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(
            protocol::describeSnapshot(copyNode()).dump(2, ' ', false, replaceInvalid), "application/json");
    });
    m_server.Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
        const process_gauges gauges { m_decisions.eventsWaiting() };
        response.set_content(writeMetrics(copyNode(), gauges), "text/plain; version=0.0.4");
    });
    m_server.Post("/drain", [this](const httplib::Request&, httplib::Response& response) {
        m_decisions.post(coordination::drain_requested {});
        response.set_content("{\"state\":\"leaving\"}\n", "application/json");
    });
}

absl::Status operators_edge::start()
{
    const auto parsed = parseAddress(m_settings.operators);
    if (!parsed.ok())
        return parsed.status();
    if (!m_server.bind_to_port(parsed->ip, parsed->port))
        return absl::UnavailableError(fmt::format("cannot listen on {} for operators; check that the address is this "
                                                  "host's and that no other process has the port",
            m_settings.operators));
    m_listener = std::thread([this] { m_server.listen_after_bind(); });
    pthread_setname_np(m_listener.native_handle(), "operators");
    return absl::OkStatus();
}

void operators_edge::stop()
{
    m_server.stop();
    if (m_listener.joinable())
        m_listener.join();
}

protocol::node_snapshot operators_edge::copyNode() const
{
    std::promise<protocol::node_snapshot> overview;
    m_decisions.inspect([&](const coordination::node& node, state::time_point now) {
        overview.set_value(protocol::copyOverview(node, now));
    });
    auto snapshot = overview.get_future().get();
    for (bool more = true; more;) {
        std::promise<bool> copied;
        m_decisions.inspect([&](const coordination::node& node, state::time_point now) {
            copied.set_value(protocol::copyServers(node, now, snapshot));
        });
        more = copied.get_future().get();
    }
    return snapshot;
}

} // namespace acaciaslip::transport
