#pragma once

#include "coordination/effects.hpp"
#include "state/request_ledger.hpp"

#include <future>
#include <variant>

#include <httplib.h>

namespace acaciaslip::transport {

/// What a caller's thread is told about its request.
using caller_result = std::variant<coordination::answer_caller, coordination::refuse_caller>;

/// A caller's request, as transport keeps it while the node decides.
struct exchange : state::payload {
    httplib::Request request;
    std::promise<caller_result> result;
};

/// A server's answer, read whole.
struct server_answer : state::payload {
    httplib::Response response;
};

/// Whether a header belongs to one connection only and is never passed on.
[[nodiscard]] bool isHopByHop(const std::string& name);

} // namespace acaciaslip::transport
