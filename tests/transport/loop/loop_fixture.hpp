#pragma once

#include "transport/loop/boot_clock.hpp"
#include "transport/loop/tcp_listener.hpp"
#include "transport/loop/tcp_stream.hpp"
#include "transport/loop/timer.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <uv.h>

namespace acaciaslip::transport::loop {

using namespace std::chrono_literals;

/// One end of a connection, controlled by a test.
struct test_connection {
    std::shared_ptr<tcp_stream> stream;
    std::string received;
    bool closed = false;
    bool reset = false; ///< closed otherwise than in good order
};

/// Returns stream callbacks that record received bytes and the end of the stream in a test_connection. `changed` is
/// called after each read.
inline stream_callbacks makeRecordingCallbacks(
    const std::shared_ptr<test_connection>& end, const std::function<void()>& changed = [] {})
{
    stream_callbacks callbacks;
    callbacks.connected = [end] { end->stream->startReading(); };
    callbacks.received = [end, changed](std::string_view bytes) {
        end->received.append(bytes);
        changed();
    };
    callbacks.endOfStream = [end] { end->closed = true; };
    callbacks.failed = [end](int) { end->closed = end->reset = true; };
    return callbacks;
}

/// A server on the test's event loop; the test writes the bytes that it sends.
class loop_test_server {
public:
    explicit loop_test_server(uv_loop_t* loop)
        : m_listener(loop, [this](uv_stream_t* listener) {
            auto end = std::make_shared<test_connection>();
            end->stream = tcp_stream::accept(listener, makeRecordingCallbacks(end, [this, weak = std::weak_ptr(end)] {
                if (const auto connection = weak.lock(); connection && onReceived)
                    onReceived(*connection);
            }));
            end->stream->startReading();
            connections.push_back(end);
        })
    {
        EXPECT_TRUE(m_listener.listen("127.0.0.1:0").ok());
    }

    ~loop_test_server()
    {
        for (const auto& end : connections)
            end->stream->close();
    }
    loop_test_server(const loop_test_server&) = delete;
    loop_test_server& operator=(const loop_test_server&) = delete;

    [[nodiscard]] int port() const { return m_listener.port(); }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_listener.port()); }

    std::function<void(test_connection&)> onReceived;
    std::vector<std::shared_ptr<test_connection>> connections;

private:
    tcp_listener m_listener;
};

/// A test fixture with an event loop that the test runs until a condition is met or a time has passed.
class loop_fixture : public testing::Test {
protected:
    loop_fixture() { uv_loop_init(&m_loop); }
    /// Runs the loop until a condition is met or the timeout has passed.
    /// \return whether the condition is met
    bool runUntil(const std::function<bool()>& condition, state::duration timeout = 5s)
    {
        bool timedOut = false;
        timer limit(&m_loop, [&] { timedOut = true; });
        limit.start(timeout);
        while (!condition() && !timedOut)
            uv_run(&m_loop, UV_RUN_ONCE);
        return condition();
    }

    void runFor(state::duration span)
    {
        bool over = false;
        timer limit(&m_loop, [&] { over = true; });
        limit.start(span);
        while (!over)
            uv_run(&m_loop, UV_RUN_ONCE);
    }

    std::shared_ptr<test_connection> connect(const std::string& address)
    {
        auto end = std::make_shared<test_connection>();
        end->stream = tcp_stream::connect(&m_loop, *parseAddress(address), makeRecordingCallbacks(end));
        m_clients.push_back(end);
        return end;
    }

    uv_loop_t m_loop {};
    std::vector<std::shared_ptr<test_connection>> m_clients;
};

} // namespace acaciaslip::transport::loop
