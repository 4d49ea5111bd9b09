#pragma once

#include "protocol/http/message.hpp"
#include "state/gateway/request_digest.hpp"

#include <span>
#include <string_view>

namespace acaciaslip::protocol {

/// Computes the digests of what a server runs: method, host, target, caller and body. Ids, times and the caller's
/// address are left out, since they change when the request comes again. A request without a body and without any
/// header that identifies its caller has no digest without the query: all callers of its path would share it, and one
/// of them could have the others refused. \param callerHeaders names of headers that identify a caller, in addition to
/// the standard ones; empty names are ignored
[[nodiscard]] state::gateway::request_digests computeDigests(
    const http::message& request, std::span<const std::string_view> callerHeaders = {});

} // namespace acaciaslip::protocol
