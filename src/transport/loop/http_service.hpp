#pragma once

#include "protocol/http/message.hpp"
#include "transport/loop/caller_listener.hpp"

#include <functional>
#include <string>

namespace acaciaslip::transport::loop {

/// What a service answers.
struct service_answer {
    int status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

/// A small HTTP server beside the callers' one: health, metrics, dumps, values for peers.
class http_service {
public:
    /// Gives a request its answer, once, now or later; without effect once the connection has gone.
    using reply = std::function<void(const service_answer&)>;
    using handler = std::function<void(const protocol::http::message&, const reply&)>;

    http_service(uv_loop_t* loop, handler answer);

    [[nodiscard]] absl::Status listen(const std::string& address) { return m_listener.listen(address); }
    [[nodiscard]] int port() const { return m_listener.port(); }
    void close() { m_listener.close(); }

private:
    void noteArrived(
        state::request_id id, const std::shared_ptr<caller_connection>& from, const protocol::http::message& request);

    handler m_answer;
    caller_listener m_listener;
};

} // namespace acaciaslip::transport::loop
