#pragma once

#include "protocol/http/body_reader.hpp"
#include "protocol/http/head_reader.hpp"
#include "protocol/http/message.hpp"
#include "protocol/http/parsing.hpp"

#include <string>
#include <string_view>

namespace acaciaslip::protocol::http {

/// Which side of a connection is read.
enum class message_side { requests, answers };

/// Reads messages off one connection, one after the other.
///
/// Strict: a message that another reader might take for something else is malformed, since what is behind it might then
/// run as a request that nobody sent.
class message_parser {
public:
    message_parser(message_side side, message_limits limits);

    /// Takes bytes off the front of the input, none beyond the message's end.
    /// \param input what has arrived; shortened by what was taken
    [[nodiscard]] parse_progress take(std::string_view& input);

    /// The connection has ended.
    /// \return whole when that ends the message, more when no message had begun, malformed when it is cut
    [[nodiscard]] parse_progress finish();

    /// The next answer is to a HEAD request: no body follows its head.
    void expectNoBody() noexcept;

    /// Whether the sender of the message that is being read waits to be told to send its body; true once a message.
    [[nodiscard]] bool takeExpectsContinue() noexcept;

    /// Whether some byte of the next message has been read.
    [[nodiscard]] bool hasBegun() const noexcept;

    /// The message that was read whole; the parser goes on with the next one.
    [[nodiscard]] message takeMessage();

private:
    enum class stage { head, body, whole };

    [[nodiscard]] parse_progress takeHead(std::string_view& input);

    message_side m_side;
    message_limits m_limits;
    stage m_stage = stage::head;
    bool m_noBody = false;
    std::string m_head; ///< as far as it has come, and until the message is taken
    message m_current;
    body_reader m_body;
};

} // namespace acaciaslip::protocol::http
