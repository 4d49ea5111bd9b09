#include "transport/operators_edge.hpp"

#include "protocol/dump.hpp"
#include "transport/address.hpp"

#include <future>

#include <fmt/format.h>
#include <pthread.h>

namespace acaciaslip::transport {

namespace {

constexpr int statusUnavailable = 503;

} // namespace

operators_edge::operators_edge(decision_thread& decisions, const state::node_settings& settings)
    : m_decisions(decisions)
    , m_settings(settings)
{
    m_server.set_tcp_nodelay(true);
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
        response.set_content(describeNode(), "application/json");
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
        return absl::UnavailableError(fmt::format("cannot listen on {} for operators", m_settings.operators));
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

std::string operators_edge::describeNode() const
{
    std::promise<std::string> text;
    m_decisions.inspect([&](const coordination::node& node, state::time_point now) {
        text.set_value(protocol::describeNode(node, now).dump(2));
    });
    return text.get_future().get();
}

} // namespace acaciaslip::transport
