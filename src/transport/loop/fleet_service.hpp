#pragma once

#include "coordination/gateway/effects.hpp"
#include "coordination/gateway/events.hpp"
#include "protocol/http/message.hpp"
#include "state/gateway/published_fleet.hpp"
#include "transport/loop/http_service.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace acaciaslip::transport::loop {

/// Lets other hosts fetch this host's copy of the published fleet. The node decides when each of them is answered.
///
/// When all hosts start at the same time, they request the complete fleet from the few hosts that already have it.
/// Encoded answers are therefore cached until the fleet changes: encoding one costs as much as forwarding a dozen
/// requests.
class fleet_service {
public:
    using event_sink = std::function<void(coordination::gateway::event)>;

    explicit fleet_service(event_sink sink)
        : m_sink(std::move(sink))
    {
    }

    /// Posts another host's fetch to the node, and later the end of its connection.
    /// \return false if the request is not a fleet fetch
    [[nodiscard]] bool receive(const protocol::http::message& request, const http_service::reply& reply);

    void serve(const coordination::gateway::serve_fleet& wanted, const state::gateway::published_fleet& known);
    void redirect(const coordination::gateway::redirect_fetch& wanted) const;
    void refuse(const coordination::gateway::refuse_fetch& wanted) const;

    /// Encodes the changes after a revision, or returns them from the cache.
    /// \return the encoded delta; empty if it cannot be encoded
    [[nodiscard]] const std::string& encode(
        const state::gateway::published_fleet& known, state::revision after, bool readsChanges = true);

    /// The number of answers that were encoded instead of served from the cache.
    [[nodiscard]] std::uint64_t encodedAnswers() const noexcept { return m_encodedAnswers; }

private:
    void answer(state::gateway::fetch_id id, const service_answer& answer) const;

    event_sink m_sink;
    std::map<state::gateway::fetch_id, http_service::reply> m_replies; ///< of open connections
    std::uint64_t m_nextFetch = 1;
    state::revision m_cachedRevision = 0; ///< fleet revision of the cached answers
    /// Encoded deltas by the revision that the requesting host has, and whether it reads changes of a configuration.
    std::map<std::pair<state::revision, bool>, std::string> m_cache;
    std::uint64_t m_encodedAnswers = 0;
};

} // namespace acaciaslip::transport::loop
