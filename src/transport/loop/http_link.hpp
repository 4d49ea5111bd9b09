#pragma once

#include "protocol/http/message.hpp"
#include "protocol/http/message_parser.hpp"
#include "state/time.hpp"
#include "transport/loop/tcp_stream.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace acaciaslip::transport::loop {

/// How an exchange over a link ended without an answer.
enum class link_failure {
    not_connected, ///< no byte was written
    cut, ///< the connection ended before the answer did
    malformed, ///< what came is no answer
};

/// What a link tells its owner.
struct link_callbacks {
    /// Whether an answer that has come whole is the awaited one. Any other is dropped and the link waits on.
    std::function<bool(const protocol::http::message&)> isAwaited;
    /// Asked before the first byte of a request that had to wait for the connection; false: it is not written, and the
    /// exchange fails as not connected. None: it is always written.
    std::function<bool()> mayBegin;
    std::function<void(protocol::http::message)> answered; ///< the exchange is over; see `isIdle` for the link
    std::function<void(link_failure)> failed; ///< the exchange under way has no answer; the link is closed
    std::function<void()> idleClosed; ///< the link was idle and cannot be used any more
};

/// One kept connection to an HTTP server; carries one exchange at a time.
///
/// Bytes that belong to no exchange close the link, so that no answer is taken for another one's.
class http_link : public std::enable_shared_from_this<http_link> {
public:
    /// \param limits for answers
    static std::shared_ptr<http_link> open(
        uv_loop_t* loop, const sockaddr_in& to, protocol::http::message_limits limits, link_callbacks callbacks);

    /// Begins an exchange. Waits for the connection if it is not up yet.
    /// \param toHead whether the request's method is HEAD
    void send(std::string request, bool toHead);

    /// Closes; nothing is called back any more.
    void close();

    [[nodiscard]] bool isIdle() const noexcept { return !m_busy && !m_closed; }
    [[nodiscard]] bool isConnected() const noexcept { return m_connected; }

    /// Whether it is idle and nothing has come on it, the server's end included.
    [[nodiscard]] bool isReusable() const { return isIdle() && !m_stream->hasUnread(); }

    /// How long the server keeps the idle connection, as its last answer said.
    [[nodiscard]] std::optional<state::duration> keptFor() const noexcept { return m_keptFor; }

private:
    http_link(protocol::http::message_limits limits, link_callbacks callbacks);

    void noteConnected();
    void noteReceived(std::string_view bytes);
    void noteEnded();
    void noteFailed();
    void takeAnswers(std::string_view bytes);
    void finishAnswer(protocol::http::message answer, bool hasMore);
    void fail(link_failure reason);

    std::shared_ptr<tcp_stream> m_stream;
    protocol::http::message_parser m_parser;
    link_callbacks m_callbacks;
    std::string m_unsent;
    std::optional<state::duration> m_keptFor;
    bool m_connected = false;
    bool m_busy = false;
    bool m_closed = false;
};

} // namespace acaciaslip::transport::loop
