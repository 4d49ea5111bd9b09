#pragma once

#include "protocol/http/message.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace acaciaslip::protocol::http {

/// Which side of a connection is read.
enum class message_side { requests, answers };

/// What a message may take up.
struct message_limits {
    std::size_t headBytes = 65536; ///< start line and headers together
    std::uint64_t bodyBytes = 67108864;
};

/// How far a message has been read.
enum class parse_progress {
    more, ///< bytes are missing
    whole,
    malformed,
    head_too_large,
    body_too_large,
};

/// Reads messages off one connection, one after the other.
class message_parser {
public:
    message_parser(message_side side, message_limits limits);
    ~message_parser();
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

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

    void setLimits(message_limits limits) noexcept;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace acaciaslip::protocol::http
