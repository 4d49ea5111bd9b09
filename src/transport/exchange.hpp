#pragma once

#include "coordination/effects.hpp"
#include "state/request_ledger.hpp"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include <httplib.h>

namespace acaciaslip::transport {

/// What a caller is told about its request.
using caller_result = std::variant<coordination::answer_caller, coordination::refuse_caller>;

/// A caller's request, as transport keeps it while the node decides.
struct exchange : state::payload {
    std::string method;
    std::string target; ///< as the caller sent it
    std::string path; ///< decoded, without the query
    httplib::Headers headers; ///< those that are passed on, and our own Request-Timeout-Ms and Idempotency-Key
    std::string body;
    std::atomic<std::uint32_t> sends { 0 }; ///< attempts made so far
};

/// A server's answer, read whole.
struct server_answer : state::payload {
    int status = 0;
    std::string reason;
    httplib::Headers headers; ///< those that are passed on
    std::string body;
    std::optional<std::uint64_t> declaredLength; ///< Content-Length, also when no body follows it
};

/// Removes the headers that belong to one connection, those that Connection names, Content-Length, and Acaciaslip-*.
void removeOwnHeaders(httplib::Headers& headers);

} // namespace acaciaslip::transport
