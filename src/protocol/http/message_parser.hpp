#pragma once

#include "protocol/http/body_reader.hpp"
#include "protocol/http/head_reader.hpp"
#include "protocol/http/message.hpp"
#include "protocol/http/parsing.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace acaciaslip::protocol::http {

/// Kind of messages received on a connection.
enum class message_side { requests, answers };

/// Parses consecutive messages of one connection.
///
/// Parsing is strict: a message that another parser might interpret differently is malformed, because the bytes after
/// it could then be executed as a request (request smuggling).
class message_parser {
public:
    message_parser(message_side side, message_limits limits);

    /// Consumes bytes from the front of the input, up to the end of the message.
    /// \param input received bytes; the consumed ones are removed
    /// \return complete at the end of a message, incomplete when bytes are missing, or the error
    [[nodiscard]] parse_status consume(std::string_view& input);

    /// Signals the end of the connection.
    /// \return complete when that ends the message, incomplete when no message had started, malformed when it is
    /// truncated
    [[nodiscard]] parse_status finish();

    /// Counts the messages from now on against a budget. A message that does not fit ends with `no_memory`; with a
    /// declared length this happens before its body is read.
    void useBudget(std::shared_ptr<coordination::memory_budget> budget) noexcept { m_budget = std::move(budget); }

    /// Limits the body of the next message to fewer bytes than the limits given at construction.
    void limitNextBody(std::uint64_t bytes) noexcept { m_maxNextBody = bytes; }

    /// Declares that the next response is to a HEAD request and has no body.
    void expectNoBody() noexcept;

    /// Whether the sender of the current message waits for status 100 before sending the body; true at most once per
    /// message.
    [[nodiscard]] bool takeExpectsContinue() noexcept;

    /// Whether any byte of the next message has been received.
    [[nodiscard]] bool hasPartialMessage() const noexcept;

    /// Returns the complete message and prepares the parser for the next one.
    [[nodiscard]] message takeMessage();

private:
    enum class stage { head, body, complete };

    [[nodiscard]] parse_status takeHead(std::string_view& input);
    [[nodiscard]] bool reserveMemory();

    message_side m_side;
    message_limits m_limits;
    stage m_stage = stage::head;
    bool m_expectNoBody = false;
    std::string m_head; ///< received part of the head; kept until takeMessage()
    message m_current;
    body_reader m_body;
    std::uint64_t m_declaredLength = 0; ///< of the current message's body; 0 if it is not declared
    std::uint64_t m_maxNextBody = UINT64_MAX;
    std::shared_ptr<coordination::memory_budget> m_budget;
};

} // namespace acaciaslip::protocol::http
