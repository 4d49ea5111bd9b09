#pragma once

#include "protocol/http_head.hpp"
#include "state/time.hpp"

#include <cstddef>

namespace acaciaslip::transport {

/// What callers may take up of a node.
struct edge_limits {
    protocol::message_limits message;
    std::size_t connections = 8192; ///< beyond it a connection is answered 503 and closed
    state::duration idle = std::chrono::seconds { 60 }; ///< between two requests of a connection
    state::duration request = std::chrono::seconds { 20 }; ///< from a request's first byte to its last
    state::duration answer = std::chrono::seconds { 30 }; ///< from an answer's first byte to its last
    state::duration linger = std::chrono::seconds { 1 }; ///< for a caller to close after its last answer
    state::duration quiet = std::chrono::milliseconds { 300 }; ///< at the stop: with no new connection, ends listening
    state::duration listen = std::chrono::seconds { 3 }; ///< at the stop: ends listening although connections come
    state::duration stop = std::chrono::seconds { 10 }; ///< the longest that the stop waits for callers
};

} // namespace acaciaslip::transport
