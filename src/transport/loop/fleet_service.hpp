#pragma once

#include "protocol/http/message.hpp"
#include "state/gateway/published_fleet.hpp"
#include "transport/loop/http_service.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace acaciaslip::transport::loop {

/// Serves this host's copy of the published fleet to other hosts.
///
/// When all hosts start at the same time, they request the complete fleet from the few hosts that already have it.
/// Encoded answers are therefore cached until the fleet changes: encoding one costs as much as forwarding a dozen
/// requests.
class fleet_service {
public:
    /// Answers another host's fetch.
    /// \return the answer, or nothing if the request is not a fleet fetch
    [[nodiscard]] std::optional<service_answer> answer(
        const protocol::http::message& request, const state::gateway::published_fleet& known);

    /// The number of answers that were encoded instead of served from the cache.
    [[nodiscard]] std::uint64_t encodedAnswers() const noexcept { return m_encodedAnswers; }

private:
    const std::string& findOrEncode(const state::gateway::published_fleet& known, state::revision after);

    state::revision m_cachedRevision = 0; ///< fleet revision of the cached answers
    std::map<state::revision, std::string> m_cache; ///< encoded deltas by the revision that the requesting host has
    std::uint64_t m_encodedAnswers = 0;
};

} // namespace acaciaslip::transport::loop
