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

bool fleet_service::receive(const protocol::http::message& request, const http_service::reply& reply)
{
    if (protocol::http::extractPath(request.target) != fleetPath)
        return false;
    const auto after = protocol::http::findParameter(request.target, "after").value_or("");
    const state::gateway::fetch_id id { m_nextFetch++ };
    m_replies[id] = reply;
    reply.whenClosed([this, id](bool isComplete) {
        m_replies.erase(id);
        m_sink(coordination::gateway::fetch_served { id, isComplete });
    });
    m_sink(coordination::gateway::fetch_requested { id,
        std::string(protocol::http::findParameter(request.target, "from").value_or("")),
        protocol::http::parseUnsigned(after).value_or(0),
        protocol::http::findParameter(request.target, "changes").has_value() });
    return true;
}

void fleet_service::serve(
    const coordination::gateway::serve_fleet& wanted, const state::gateway::published_fleet& known)
{
    const auto& bytes = encode(known, wanted.after, wanted.readsChanges);
    if (bytes.empty())
        return refuse({ wanted.id });
    answer(wanted.id, { statusOk, "application/octet-stream", bytes });
}

void fleet_service::redirect(const coordination::gateway::redirect_fetch& wanted) const
{
    answer(wanted.id, { statusRedirect, "text/plain", wanted.ip });
}

void fleet_service::refuse(const coordination::gateway::refuse_fetch& wanted) const
{
    answer(wanted.id, { statusUnavailable, "text/plain", "nothing to give\n" });
}

void fleet_service::answer(state::gateway::fetch_id id, const service_answer& answer) const
{
    const auto waiting = m_replies.find(id);
    if (waiting == m_replies.end())
        return; // the other host has given up
    const auto reply = waiting->second; // answering may end the connection, which erases the entry
    reply(answer);
}

const std::string& fleet_service::encode(
    const state::gateway::published_fleet& known, state::revision after, bool readsChanges)
{
    if (std::exchange(m_cachedRevision, known.asOf) != known.asOf || m_cache.size() >= maxCachedAnswers)
        m_cache.clear();
    const auto [cached, isNew] = m_cache.try_emplace({ after, readsChanges });
    if (isNew) {
        ++m_encodedAnswers;
        auto delta = coordination::gateway::makeDelta(known, after);
        if (!readsChanges && std::exchange(delta.configChanges, std::nullopt))
            delta.changes.config = known.config;
        cached->second = protocol::encodeDelta(delta).value_or("");
    }
    return cached->second;
}

} // namespace acaciaslip::transport::loop
