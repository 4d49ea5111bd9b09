#include "transport/loop/fleet_service.hpp"

#include "coordination/gateway/fleet_merge.hpp"
#include "protocol/gateway_peer_codec.hpp"
#include "transport/loop/peer_transport.hpp"

#include <utility>

namespace acaciaslip::transport::loop {

namespace {

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
/// Hosts that fetch at the same time have either no revision or one of the latest few.
constexpr std::size_t maxCachedAnswers = 4;

} // namespace

std::optional<service_answer> fleet_service::answer(
    const protocol::http::message& request, const state::gateway::published_fleet& known)
{
    if (protocol::http::extractPath(request.target) != fleetPath)
        return std::nullopt;
    const auto text = protocol::http::findParameter(request.target, "after").value_or("");
    const auto& bytes = findOrEncode(known, protocol::http::parseUnsigned(text).value_or(0));
    if (bytes.empty() || known.asOf == 0)
        return service_answer { statusUnavailable, "text/plain", "nothing to give\n" };
    return service_answer { statusOk, "application/octet-stream", bytes };
}

/// \return the encoded delta; empty if it cannot be encoded
const std::string& fleet_service::findOrEncode(const state::gateway::published_fleet& known, state::revision after)
{
    if (std::exchange(m_cachedRevision, known.asOf) != known.asOf || m_cache.size() > maxCachedAnswers)
        m_cache.clear();
    const auto [cached, isNew] = m_cache.try_emplace(after);
    if (isNew) {
        ++m_encodedAnswers;
        cached->second = protocol::encodeDelta(coordination::gateway::makeDelta(known, after)).value_or("");
    }
    return cached->second;
}

} // namespace acaciaslip::transport::loop
