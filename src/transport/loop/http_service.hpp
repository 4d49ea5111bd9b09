#pragma once

#include "protocol/http/message.hpp"
#include "transport/loop/caller_listener.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

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
    class reply {
    public:
        reply() = default;
        reply(http_service& owner, state::request_id id, const std::shared_ptr<caller_connection>& to);

        void operator()(const service_answer& answer) const;

        /// Sets a callback for the end of the connection.
        /// \param closed takes whether the other side has received the whole answer
        void whenClosed(std::function<void(bool isComplete)> closed) const;

    private:
        http_service* m_owner = nullptr;
        state::request_id m_id {};
        std::weak_ptr<caller_connection> m_connection;
    };
    using handler = std::function<void(const protocol::http::message&, const reply&)>;

    http_service(uv_loop_t* loop, handler answer);

    [[nodiscard]] absl::Status listen(const std::string& address) { return m_listener.listen(address); }
    [[nodiscard]] int port() const { return m_listener.port(); }
    void close() { m_listener.close(); }

private:
    void handleRequest(
        state::request_id id, const std::shared_ptr<caller_connection>& from, const protocol::http::message& request);

    void handleClosed(const caller_connection& connection);

    handler m_answer;
    std::unordered_map<const caller_connection*, std::function<void(bool)>> m_closed; ///< see `reply::whenClosed`
    caller_listener m_listener;
};

} // namespace acaciaslip::transport::loop
