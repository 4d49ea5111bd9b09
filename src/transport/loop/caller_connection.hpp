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

/// Limits of a connection, from the current configuration.
struct connection_limits {
    protocol::http::message_limits message;
    state::duration headerTimeout = std::chrono::seconds { 3 }; ///< between two reads of the same request
    state::duration idleTimeout = std::chrono::seconds { 15 };
    std::optional<state::duration> requestTimeout; ///< from a request's first byte to its last; unset: no limit
    /// Whether a caller that has half-closed the connection still receives its answers. If false, its requests are
    /// cancelled when it closes its sending side.
    bool answersHalfClosed = false;
};

/// Callbacks from a caller's connection to its owner.
struct caller_connection_callbacks {
    std::function<state::request_id()> nextRequestId; ///< returns the id of the next request
    std::function<void(state::request_id, protocol::http::message)>
        requestReceived; ///< a complete request has been read
    std::function<void(state::request_id)>
        callerDisconnected; ///< the caller no longer waits for the answer to this request
    std::function<void()> closed;
    /// Returns the encoded answer to bytes that cannot be parsed as a request.
    std::function<std::string(int status, std::string_view reason)> makeRefusal;
};

/// Whether and when a connection is closed after an answer.
enum class connection_persistence {
    keep_alive,
    /// Reads no further requests and closes the connection once those in progress are answered. Only the last answer
    /// carries "Connection: close", because callers assume that requests after such an answer were not read.
    close_after_requests,
    /// Closes the connection right after the answer, whose body is delimited by the end of the connection. Later
    /// requests in progress are dropped.
    ends_answer,
};

/// Encodes an answer.
/// \param keepAlive whether another answer may follow it on the connection
using answer_writer = std::function<std::string(bool keepAlive)>;

/// A caller's connection. Supports HTTP pipelining: reads further requests while earlier ones are in progress and sends
/// the answers in the order of the requests.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    /// \return the connection, or null if it was already closed
    static std::shared_ptr<caller_connection> accept(
        uv_stream_t* listener, connection_limits limits, caller_connection_callbacks callbacks);

    /// Sends the answer to a request, after the answers to earlier requests.
    /// \param write encodes the answer; called once, before this function returns
    /// \param persistence whether and when the connection is closed
    /// \param held kept until the answer has been written; see `tcp_stream::write`
    void answer(state::request_id id, const answer_writer& write, connection_persistence persistence,
        std::shared_ptr<const void> held = {});

    /// Counts the requests from now on against a budget. One that does not fit is refused with status 503.
    void useBudget(std::shared_ptr<coordination::memory_budget> budget) { m_parser.useBudget(std::move(budget)); }

    /// Closes the connection once no request is in progress or partially read.
    /// \param minIdleTime minimum idle time before closing, since a request may already be in transit
    void drain(state::duration minIdleTime = {});

    /// Stops reading, sends a refusal after the outstanding answers, and closes the connection.
    void refuse(int status, std::string_view reason);

    /// Refuses a request that has been received only in part.
    void refusePartial(int status, std::string_view reason);

    /// Closes the connection immediately.
    void close();

    /// Whether the caller has closed its side after the last answer, so that it has received the whole answer.
    [[nodiscard]] bool hasReceivedAll() const noexcept { return m_stream->hasPeerClosed(); }

    /// Whether no request is in progress and all answers have been handed to the operating system.
    [[nodiscard]] bool isDrained() const noexcept;

private:
    struct exchange {
        state::request_id id {};
        std::optional<std::string> answer;
        bool closes = false; ///< the connection is closed after this answer, which announces it
        bool isHttp11 = true;
        std::shared_ptr<const void> held; ///< kept until the answer has been written
    };

    explicit caller_connection(connection_limits limits, caller_connection_callbacks callbacks);

    void handleReceived(std::string_view bytes);
    void readRequests();
    void takeRequest();
    void handleEnd();
    void handleTimeout();
    void checkReset();
    void flush();
    void finish();
    bool end();
    void restartTimer();

    connection_limits m_limits;
    caller_connection_callbacks m_callbacks;
    std::shared_ptr<tcp_stream> m_stream;
    std::unique_ptr<timer> m_timer;
    protocol::http::message_parser m_parser;
    std::string m_unparsed; ///< bytes received but not parsed yet, while the limit of requests in progress is reached
    std::deque<exchange> m_exchanges;
    bool m_parsing = false; ///< `readRequests` is parsing `m_unparsed`
    bool m_stoppedReading = false; ///< no further requests are read
    bool m_halfClosed = false; ///< the caller has closed its sending side
    std::optional<state::duration> m_closeAfterIdle; ///< set once closing was requested: the idle time before closing
    std::optional<state::time_point> m_requestStartedAt; ///< when the first byte of the current request was received
    bool m_closed = false;
};

} // namespace acaciaslip::transport::loop
