#pragma once

#include <cstddef>
#include <cstdint>

namespace acaciaslip::protocol::http {

/// Size limits of a message.
struct message_limits {
    std::size_t headBytes = 65536; ///< start line and headers together, in bytes
    std::uint64_t bodyBytes = 67108864; ///< after chunks have been decoded
    std::size_t lineBytes = 65536; ///< one line of the head, in bytes
    std::size_t headers = 1024; ///< number of header fields
};

/// Result of a parsing step.
enum class parse_status {
    incomplete, ///< more bytes are needed
    complete,
    malformed, ///< or ambiguous
    head_too_large,
    body_too_large,
    target_too_long,
    unknown_version, ///< HTTP version that is not supported
    no_memory, ///< the process's memory for messages in hand is in use
};

} // namespace acaciaslip::protocol::http
