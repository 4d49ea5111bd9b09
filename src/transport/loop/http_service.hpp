#pragma once

#include "protocol/http/message.hpp"
#include "transport/loop/caller_listener.hpp"

#include <functional>
#include <string>

namespace acaciaslip::transport::loop {

/// Answer of an `http_service`.
struct service_answer {
    int status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

/// HTTP server for internal endpoints, separate from the callers' port: health, metrics, dumps, values for peers.
class http_service {
public:
    /// Sends the answer to a request. Call it once, during the handler or later; no effect after the connection is
    /// closed.
    using reply = std::function<void(const service_answer&)>;
    using handler = std::function<void(const protocol::http::message&, const reply&)>;

    http_service(uv_loop_t* loop, handler answer);

    [[nodiscard]] absl::Status listen(const std::string& address) { return m_listener.listen(address); }
    [[nodiscard]] int port() const { return m_listener.port(); }
    void close() { m_listener.close(); }

private:
    void handleRequest(
        state::request_id id, const std::shared_ptr<caller_connection>& from, const protocol::http::message& request);

    handler m_answer;
    caller_listener m_listener;
};

} // namespace acaciaslip::transport::loop
