#pragma once

#include <cstddef>
#include <cstdint>

namespace acaciaslip::protocol::http {

/// What a message may take up.
struct message_limits {
    std::size_t headBytes = 65536; ///< start line and headers together
    std::uint64_t bodyBytes = 67108864;
    std::size_t lineBytes = 65536; ///< one line of the head
    std::size_t headers = 1024;
};

/// How far a message has been read.
enum class parse_progress {
    more, ///< bytes are missing
    whole,
    malformed, ///< or to be read in more than one way
    head_too_large,
    body_too_large,
    target_too_long,
    unknown_version, ///< of HTTP
};

} // namespace acaciaslip::protocol::http
