#pragma once

#include "protocol/http/message.hpp"
#include "protocol/http/message_parser.hpp"
#include "state/time.hpp"
#include "transport/loop/tcp_stream.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace acaciaslip::transport::loop {

/// Why an exchange ended without an answer.
enum class connection_failure {
    not_connected, ///< no byte was written
    truncated, ///< the connection was closed before the answer was complete
    malformed, ///< the received bytes are not a valid HTTP answer, or it does not end
    too_large, ///< the answer's body exceeds the limits
};

/// Callbacks from a connection to its owner.
struct http_connection_callbacks {
    /// Whether a complete answer belongs to the current request. Any other answer is dropped, and the exchange
    /// continues.
    std::function<bool(const protocol::http::message&)> isExpected;
    /// Called before the first byte of a request that had to wait for the connection. If it returns false, the request
    /// is not written and the exchange fails as `not_connected`. If unset, the request is always written.
    std::function<bool()> maySend;
    /// The exchange is finished; `isIdle` tells whether the connection can be used for another one.
    std::function<void(protocol::http::message)> answered;
    /// The current exchange ended without an answer, and the connection is closed.
    std::function<void(connection_failure)> failed;
    std::function<void()> closedWhileIdle; ///< the connection was closed while idle
};

/// Options of one exchange.
struct exchange_options {
    bool isHeadRequest = false; ///< the answer has no body
    std::uint64_t maxBodyBytes = UINT64_MAX; ///< of the answer, if less than the connection's limit
    std::shared_ptr<const void> held; ///< kept until the request has been written; see `tcp_stream::write`
};

/// A keep-alive connection to an HTTP server, for one exchange at a time.
///
/// Bytes received outside an exchange close the connection, so that no answer is matched to the wrong request.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    /// \param limits for answers
    static std::shared_ptr<http_connection> open(uv_loop_t* loop, const sockaddr_in& to,
        protocol::http::message_limits limits, http_connection_callbacks callbacks);

    /// Starts an exchange. The request is written once the connection is established.
    void send(std::string request, exchange_options options = {});

    /// Counts the answers from now on against a budget.
    void useBudget(std::shared_ptr<coordination::memory_budget> budget) { m_parser.useBudget(std::move(budget)); }

    /// Closes the connection without further callbacks.
    void close();

    [[nodiscard]] bool isIdle() const noexcept { return !m_busy && !m_closed; }
    [[nodiscard]] bool isConnected() const noexcept { return m_connected; }

    /// Whether the connection is idle with no unread data and no unread end of stream from the server.
    [[nodiscard]] bool isReusable() const { return isIdle() && !m_stream->hasPendingInput(); }

    /// Bytes received since the connection was opened.
    [[nodiscard]] std::uint64_t receivedBytes() const noexcept { return m_receivedBytes; }

    /// How long the server keeps an idle connection open, from the Keep-Alive header of its last answer.
    [[nodiscard]] std::optional<state::duration> keepAliveTimeout() const noexcept { return m_keepAliveTimeout; }

private:
    http_connection(protocol::http::message_limits limits, http_connection_callbacks callbacks);

    void handleConnected();
    void handleReceived(std::string_view bytes);
    void handleEnd();
    void handleFailure();
    void parseAnswers(std::string_view bytes);
    void finishAnswer(protocol::http::message answer, bool hasMore);
    void fail(connection_failure reason);

    std::shared_ptr<tcp_stream> m_stream;
    protocol::http::message_parser m_parser;
    http_connection_callbacks m_callbacks;
    std::string m_unsent;
    std::shared_ptr<const void> m_unsentHeld;
    std::uint64_t m_receivedBytes = 0;
    std::uint32_t m_skippedAnswers = 0; ///< interim and unexpected answers in the current exchange
    std::optional<state::duration> m_keepAliveTimeout;
    bool m_connected = false;
    bool m_busy = false;
    bool m_closed = false;
};

} // namespace acaciaslip::transport::loop
