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
    state::duration headerTimeout = std::chrono::seconds { 3 }; ///< between two pieces of a request
    state::duration idleTimeout = std::chrono::seconds { 15 };
    std::optional<state::duration> requestTimeout; ///< from a request's first byte to its last; none: not limited
    /// Whether a caller that sends no more but still reads gets its answers; otherwise its end cancels its requests.
    bool answersHalfClosed = false;
};

/// What a caller's connection tells its owner.
struct caller_callbacks {
    std::function<state::request_id()> number; ///< gives the next request its number
    std::function<void(state::request_id, protocol::http::message)> arrived; ///< a request was read whole
    std::function<void(state::request_id)> gone; ///< nobody waits for this request's answer any more
    std::function<void()> closed;
    /// Writes the answer to what cannot be read as a request.
    std::function<std::string(int status, std::string_view reason)> refuse;
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

    /// Closes the connection once no request is in progress or half read.
    /// \param quiet how long it must have been idle: a request may be on its way
    void leave(state::duration quiet = {});

    /// Reads nothing more, answers with a refusal behind the answers that are due, and closes.
    void refuse(int status, std::string_view reason);

    /// Refuses a request of which only a part has come.
    void refusePartial(int status, std::string_view reason);

    /// Closes at once.
    void close();

    /// Whether everything that was answered is with the system.
    [[nodiscard]] bool isQuiet() const noexcept;

private:
    struct exchange {
        state::request_id id {};
        std::optional<std::string> answer;
        bool closes = false; ///< the caller asked to close after it, or we do
        bool isHttp11 = true;
    };

    explicit caller_connection(connection_limits limits, caller_callbacks callbacks);

    void noteReceived(std::string_view bytes);
    void readRequests();
    void takeRequest();
    void noteEnded();
    void noteTimeout();
    void probeReset();
    void flush();
    void finish();
    bool end();
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
    bool m_ended = false; ///< the caller sends no more
    std::optional<state::duration> m_leaving; ///< closes after being idle so long
    std::optional<state::time_point> m_begunAt; ///< first byte of the request that is being read
    bool m_closed = false;
};

} // namespace acaciaslip::transport::loop
