#pragma once

#include "transport/loop/gateway_daemon.hpp"
#include "transport/loop/loop_fixture.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace acaciaslip::transport::loop {

namespace gateway = coordination::gateway;

/// A complete daemon with raw TCP callers and servers, all on one event loop.
class gateway_daemon_fixture : public testing::Test {
protected:
    gateway_daemon_fixture()
        : m_daemon(makeSettings())
        , m_server(m_daemon.loop())
    {
        EXPECT_TRUE(m_daemon.start().ok());
        m_server.onReceived = [](test_connection& end) {
            if (end.received.find("\r\n\r\n") == std::string::npos)
                return;
            const bool isProbe = end.received.starts_with("GET /health");
            end.received.clear();
            end.stream->write(isProbe ? "HTTP/1.1 200 OK\r\nAcaciaslip-Server: s1\r\nContent-Length: 0\r\n\r\n"
                                      : "HTTP/1.1 200 OK\r\nAcaciaslip-Request: r1\r\nContent-Length: 4\r\n\r\ndone");
        };
    }

    static gateway_settings makeSettings()
    {
        gateway_settings settings;
        settings.node.id = "entry-1";
        settings.node.dataCentre = "dc-a";
        settings.callers = "127.0.0.1:0";
        settings.health = "127.0.0.1:0";
        settings.operators = "127.0.0.1:0";
        settings.lowestLevel = coordination::log_level::error;
        settings.memoryBytes = 1U << 30;
        settings.node.limits.shutdownGrace = 2500ms;
        return settings;
    }

    /// \param version of the configuration; its revision increases with it
    void publish(std::uint32_t version = 1, std::vector<state::gateway::team> teams = {})
    {
        state::gateway::fleet_delta delta { true, 0, {} };
        delta.changes.asOf = 2 + version;
        auto& config = delta.changes.config.value.emplace();
        delta.changes.config.revisionNumber = version;
        config.version = version;
        config.teams = std::move(teams);
        config.routes = { { "r", "x", "/", m_kind, 600ms, 1200ms, 2, 1, { { "a", 1 } } } };
        config.services = { { "a", "/health", 100, 3s, 3.4 } };
        delta.changes.servers["s1"]
            = { 2, state::gateway::server_entry { "s1", "a", m_server.address(), "dc-a", 4, false, {}, 1 } };
        m_daemon.post(gateway::fleet_update_received { delta, gateway::fleet_source::store });
    }

    std::shared_ptr<test_connection> connectAndSend(int port, const std::string& bytes)
    {
        auto end = std::make_shared<test_connection>();
        auto callbacks = makeRecordingCallbacks(end);
        callbacks.connected = [end, bytes] {
            end->stream->startReading();
            end->stream->write(bytes);
        };
        end->stream = tcp_stream::connect(
            m_daemon.loop(), *parseAddress("127.0.0.1:" + std::to_string(port)), std::move(callbacks));
        return end;
    }

    bool runUntil(const std::function<bool()>& condition)
    {
        const auto deadline = bootNow() + 5s;
        timer wake(m_daemon.loop(), [] {});
        while (!condition() && bootNow() < deadline) {
            wake.start(20ms);
            uv_run(m_daemon.loop(), UV_RUN_ONCE);
        }
        wake.stop();
        return condition();
    }

    state::gateway::request_kind m_kind = state::gateway::request_kind::idempotent; ///< of the published route
    gateway_daemon m_daemon;
    loop_test_server m_server;
};

} // namespace acaciaslip::transport::loop
