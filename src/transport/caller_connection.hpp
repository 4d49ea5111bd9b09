#pragma once

#include "protocol/body_reader.hpp"
#include "protocol/http_head.hpp"
#include "transport/caller_answer.hpp"
#include "transport/edge_limits.hpp"
#include "transport/request_parser.hpp"

#include <memory>
#include <optional>
#include <string>

namespace acaciaslip::transport {

/// The stages of a caller's connection.
enum class caller_stage {
    reading, ///< a request, or the idle time before one
    waiting, ///< for the node's word
    writing, ///< an answer
    lingering, ///< the last answer is written; what still comes is dropped, so that no reset destroys the answer
    closed,
};

/// One connection of a caller, as a state machine over a socket that never blocks.
class caller_connection {
public:
    /// \param socket non-blocking; closed with the connection
    caller_connection(int socket, const edge_limits& limits, request_parser& parser, state::time_point now);
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    ~caller_connection();

    [[nodiscard]] caller_stage stage() const noexcept { return m_stage; }

    /// Notes what epoll said of the socket.
    void noteEvents(std::uint32_t events) noexcept;

    /// Reads and writes what can be done without waiting.
    /// \return a request that has come whole; the connection then waits for its answer
    [[nodiscard]] std::shared_ptr<exchange> advance(state::time_point now);

    /// Whether the caller of the waiting request has closed or reset its connection.
    ///
    /// The end of the caller's stream alone may be a half-close by one that still reads. Such a caller is sent an
    /// interim answer (100): one that is gone answers that with a reset.
    [[nodiscard]] bool isCallerGone();

    /// Begins to write the answer to the waiting request.
    void answer(const caller_result& result, state::time_point now);

    /// Begins to write a refusal and closes afterwards.
    void refuse(int status, std::string_view reason, state::time_point now);

    /// Ends what has run out of time.
    void checkDeadline(state::time_point now);

    /// Asks for the connection to end after the request that it is in.
    /// \param mayRefuse whether a request of which only a part has come is refused now
    void endSoon(state::time_point now, bool mayRefuse);

    /// Whether advance() has more to do although nothing new has come.
    [[nodiscard]] bool wantsTurn() const noexcept { return m_wantsTurn; }

    void close() noexcept;

private:
    void receive();
    void discard();
    [[nodiscard]] bool readHead(state::time_point now);
    [[nodiscard]] std::shared_ptr<exchange> readRequest(state::time_point now);
    [[nodiscard]] std::shared_ptr<exchange> makeExchange(state::time_point now);
    void beginAnswer(caller_answer made, state::time_point now);
    void writeMore(state::time_point now);
    void finishAnswer(state::time_point now);
    void beginLinger(state::time_point now);
    void sayInterim();

    int m_socket;
    const edge_limits& m_limits;
    request_parser& m_parser;
    caller_stage m_stage = caller_stage::reading;
    state::time_point m_deadline;
    state::time_point m_idleSince;
    bool m_started = false; ///< a byte of the request has come
    bool m_readable = true;
    bool m_ended = false; ///< the caller's stream has ended, or is about to
    bool m_reset = false;
    bool m_endSoon = false;
    bool m_wantsTurn = false;
    bool m_saidInterim = false;
    std::string m_received;
    std::optional<protocol::request_head> m_head; ///< of the request being read
    protocol::body_reader m_body;
    caller_wishes m_wishes; ///< of the request being read or answered
    bool m_isHttp11 = true;
    caller_answer m_answer;
    std::size_t m_written = 0; ///< bytes of the answer's head and body
};

} // namespace acaciaslip::transport
