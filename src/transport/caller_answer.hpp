#pragma once

#include "transport/exchange.hpp"

#include <string>
#include <string_view>

namespace acaciaslip::transport {

/// What the way an answer is written depends on.
struct caller_wishes {
    bool toHead = false; ///< the request's method is HEAD: no body follows
    bool keepAlive = true;
};

/// An answer in the form in which it is written.
struct caller_answer {
    bool keepAlive = true; ///< false: the connection is closed after it
    std::string head;
    std::string ownBody; ///< of a refusal
    state::payload_pointer kept; ///< keeps the body of a server's answer
    std::string_view serverBody; ///< in `kept`

    [[nodiscard]] std::string_view body() const noexcept { return kept ? serverBody : std::string_view(ownBody); }
};

/// Writes a server's answer, or what the node knows without one.
[[nodiscard]] caller_answer makeAnswer(const caller_result& result, const caller_wishes& wishes);

/// Writes a refusal of a request that was not handed to the node: it has not run.
/// \param reason for a person
[[nodiscard]] caller_answer makeEdgeRefusal(int status, std::string_view reason, const caller_wishes& wishes);

} // namespace acaciaslip::transport
