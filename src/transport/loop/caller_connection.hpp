#pragma once

#include "protocol/http/message.hpp"
#include "protocol/http/message_parser.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"
#include "transport/loop/tcp_stream.hpp"
#include "transport/loop/timer.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace acaciaslip::transport::loop {

/// What a connection may take up, as the configuration in force says.
struct connection_limits {
    protocol::http::message_limits message;
    state::duration headerTimeout = std::chrono::seconds { 3 };
    state::duration idleTimeout = std::chrono::seconds { 15 };
};

/// What a caller's connection tells its owner.
struct caller_callbacks {
    std::function<state::request_id()> number; ///< gives the next request its number
    std::function<void(state::request_id, protocol::http::message)> arrived; ///< a request was read whole
    std::function<void(state::request_id)> gone; ///< nobody waits for this request's answer any more
    std::function<void()> closed;
};

/// A caller's connection. Reads further requests while earlier ones are in progress and answers in their order.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    /// \return the connection, or null when it was gone already
    static std::shared_ptr<caller_connection> accept(
        uv_stream_t* listener, connection_limits limits, caller_callbacks callbacks);

    /// Gives a request its answer.
    /// \param bytes the whole answer
    /// \param close no further request is read from this connection, and it ends after this answer
    void answer(state::request_id id, std::string bytes, bool close);

    /// Closes the connection if no request is in progress or half read, and when the last one is answered otherwise.
    void leave();

    /// Closes at once.
    void close();

    /// Whether everything that was answered is with the system.
    [[nodiscard]] bool isQuiet() const noexcept;

private:
    struct exchange {
        state::request_id id {};
        std::optional<std::string> answer;
        bool closes = false; ///< the caller asked to close after it, or we do
    };

    explicit caller_connection(connection_limits limits, caller_callbacks callbacks);

    void noteReceived(std::string_view bytes);
    void readRequests();
    void takeRequest();
    void refuseBytes(protocol::http::parse_progress problem);
    void flush();
    void finish();
    void end(const std::function<void()>& endStream);
    void restartTimer();

    connection_limits m_limits;
    caller_callbacks m_callbacks;
    std::shared_ptr<tcp_stream> m_stream;
    std::unique_ptr<timer> m_timer;
    protocol::http::message_parser m_parser;
    std::string m_unread; ///< bytes behind as many requests as may be in progress
    std::deque<exchange> m_exchanges;
    bool m_reading = false; ///< requests are being taken off `m_unread`
    bool m_lastRead = false; ///< no further request is read
    bool m_leaving = false;
    bool m_closed = false;
};

} // namespace acaciaslip::transport::loop
