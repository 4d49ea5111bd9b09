#pragma once

#include "protocol/http/message.hpp"
#include "state/gateway/published_fleet.hpp"
#include "transport/loop/http_service.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace acaciaslip::transport::loop {

/// Gives other hosts what this one knows of the published fleet.
///
/// Pattern: all hosts start at once, and ask the few that know something already for everything. What was written for
/// one is kept for the others until more is known: writing it costs as much as carrying a dozen requests.
class fleet_service {
public:
    /// Answers another host's fetch.
    /// \return the answer, or nothing when the request is none
    [[nodiscard]] std::optional<service_answer> answer(
        const protocol::http::message& request, const state::gateway::published_fleet& known);

    [[nodiscard]] std::uint64_t written() const noexcept { return m_written; } ///< answers that were not kept ones

private:
    const std::string& findOrWrite(const state::gateway::published_fleet& known, state::revision after);

    state::revision m_asOf = 0; ///< of what is kept
    std::map<state::revision, std::string> m_kept; ///< by the revision that the asking host knows
    std::uint64_t m_written = 0;
};

} // namespace acaciaslip::transport::loop
