#pragma once

#include "protocol/http/message.hpp"
#include "transport/loop/caller_connection.hpp"
#include "transport/loop/tcp_listener.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace acaciaslip::transport::loop {

/// What a service answers.
struct service_answer {
    int status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

/// A small HTTP server whose answers are ready at once: health, metrics, dumps, values for peers.
class http_service {
public:
    using handler = std::function<service_answer(const protocol::http::message&)>;

    http_service(uv_loop_t* loop, handler answer);

    [[nodiscard]] absl::Status listen(const std::string& address);
    [[nodiscard]] int port() const { return m_listener.port(); }
    void close();

private:
    void accept(uv_stream_t* listener);

    handler m_answer;
    tcp_listener m_listener;
    std::unordered_set<std::shared_ptr<caller_connection>> m_connections;
};

} // namespace acaciaslip::transport::loop
