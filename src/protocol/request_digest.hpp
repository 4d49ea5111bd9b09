#pragma once

#include "protocol/http/message.hpp"
#include "state/gateway/request_digest.hpp"

namespace acaciaslip::protocol {

/// Computes the digest of what a server runs: method, host, target, credentials and body. Ids, times and the caller's
/// address are left out, since they change when the request comes again.
[[nodiscard]] state::gateway::request_digest computeDigest(const http::message& request);

} // namespace acaciaslip::protocol
