#include "transport/loop/fleet_service.hpp"

#include "coordination/gateway/fleet_merge.hpp"
#include "protocol/gateway_peer_codec.hpp"
#include "transport/loop/peer_edge.hpp"

#include <utility>

namespace acaciaslip::transport::loop {

namespace {

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
/// Hosts that ask at a time know nothing, or one of the newest few revisions.
constexpr std::size_t mostKept = 4;

} // namespace

std::optional<service_answer> fleet_service::answer(
    const protocol::http::message& request, const state::gateway::published_fleet& known)
{
    if (protocol::http::pathOf(request.target) != fleetPath)
        return std::nullopt;
    const auto text = protocol::http::findParameter(request.target, "after").value_or("");
    const auto& bytes = findOrWrite(known, protocol::http::readNumber(text).value_or(0));
    if (bytes.empty() || known.asOf == 0)
        return service_answer { statusUnavailable, "text/plain", "nothing to give\n" };
    return service_answer { statusOk, "application/octet-stream", bytes };
}

/// \return an encoded delta; empty when it cannot be encoded
const std::string& fleet_service::findOrWrite(const state::gateway::published_fleet& known, state::revision after)
{
    if (std::exchange(m_asOf, known.asOf) != known.asOf || m_kept.size() > mostKept)
        m_kept.clear();
    const auto [kept, isNew] = m_kept.try_emplace(after);
    if (isNew) {
        ++m_written;
        kept->second = protocol::encodeDelta(coordination::gateway::makeDelta(known, after)).value_or("");
    }
    return kept->second;
}

} // namespace acaciaslip::transport::loop
