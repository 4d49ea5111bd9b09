#include "transport/loop/caller_server.hpp"

#include "protocol/request_digest.hpp"

#include <array>
#include <charconv>
#include <utility>

#include <fmt/format.h>

namespace acaciaslip::transport::loop {

namespace {

constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusTooManyRequests = 429;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
constexpr std::string_view memoryRetryAfter = "1.000"; ///< seconds; large messages are held for about that long

std::string_view withoutPort(std::string_view host) noexcept
{
    return host.substr(0, host.rfind(':'));
}

/// Returns the answer to bytes that are no request, or to a request that there is no memory for.
std::string writeRefusal(int status)
{
    protocol::http::message refusal;
    refusal.status = status;
    refusal.reason = protocol::http::reasonPhrase(status);
    if (status == statusUnavailable)
        refusal.headers.push_back({ "Retry-After", std::string(memoryRetryAfter) });
    return protocol::writeCallerAnswer(refusal, false, false);
}

/// Statuses 429 and 503 tell the caller that the request was not executed, so they are used only with the verdict
/// `not_run`.
int statusFor(const coordination::gateway::refuse_caller& refusal) noexcept
{
    switch (refusal.reason) {
    case state::refusal_reason::no_route:
        return statusNotFound;
    case state::refusal_reason::unknown_key:
        return statusUnauthorized;
    case state::refusal_reason::over_allowance:
        return statusTooManyRequests;
    default:
        break;
    }
    if (refusal.outcome == state::verdict::not_run)
        return statusUnavailable;
    return refusal.reason == state::refusal_reason::deadline_exceeded ? statusGatewayTimeout : statusBadGateway;
}

} // namespace

caller_server::caller_server(uv_loop_t* loop, const protocol::server_http_format& format, event_sink sink)
    : m_format(format)
    , m_sink(std::move(sink))
    , m_listener(loop,
          { [this](auto id, const auto& from, auto request) { handleRequest(id, from, std::move(request)); },
              [this](state::request_id id) {
                  if (m_requests.erase(static_cast<std::uint64_t>(id)) > 0)
                      m_sink(coordination::gateway::caller_disconnected { id });
              },
              [](int status, std::string_view /*reason*/) { return writeRefusal(status); } })
{
}

absl::Status caller_server::listen(const std::string& address)
{
    return m_listener.listen(address);
}

void caller_server::handleRequest(
    state::request_id id, const std::shared_ptr<caller_connection>& from, protocol::http::message request)
{
    coordination::gateway::request_arrived arrived;
    arrived.id = id;
    arrived.callerRequestId = protocol::http::findHeader(request, m_format.names.requestId).value_or("");
    arrived.host = withoutPort(protocol::http::findHeader(request, "Host").value_or(""));
    const std::array<std::string_view, 1> callerHeaders { m_format.names.teamKey };
    arrived.digests = protocol::computeDigests(request, callerHeaders);
    arrived.path = protocol::http::extractPath(request.target);
    if (const auto timeout = protocol::http::findHeader(request, m_format.names.timeout))
        arrived.callerTimeout = protocol::http::parseMilliseconds(*timeout);
    arrived.teamKey = protocol::readTeamKey(m_format, request);
    m_requests[static_cast<std::uint64_t>(id)] = { std::move(request), from };
    m_sink(std::move(arrived));
}

const protocol::http::message* caller_server::findRequest(state::request_id id) const
{
    const auto found = m_requests.find(static_cast<std::uint64_t>(id));
    return found == m_requests.end() ? nullptr : &found->second.request;
}

void caller_server::answer(const coordination::gateway::answer_caller& effect, const protocol::http::message& answer)
{
    const auto* request = findRequest(effect.id);
    if (request == nullptr)
        return;
    const bool isHeadRequest = request->method == "HEAD";
    const auto persistence = answer.closeDelimited ? connection_persistence::ends_answer
        : effect.closeConnection                   ? connection_persistence::close_after_requests
                                                   : connection_persistence::keep_alive;
    finish(
        effect.id, [&](bool keepAlive) { return protocol::writeCallerAnswer(answer, isHeadRequest, keepAlive); },
        persistence, answer.memory);
}

void caller_server::refuse(const coordination::gateway::refuse_caller& effect)
{
    const auto* request = findRequest(effect.id);
    if (request == nullptr)
        return;
    const bool isHeadRequest = request->method == "HEAD";
    protocol::http::message refusal;
    refusal.status = statusFor(effect);
    refusal.reason = protocol::http::reasonPhrase(refusal.status);
    if (const auto id = protocol::http::findHeader(*request, m_format.names.requestId))
        refusal.headers.push_back({ m_format.names.requestId, std::string(*id) });
    if (effect.retryAfter > state::duration::zero())
        refusal.headers.push_back(
            { "Retry-After", fmt::format("{:.3f}", std::chrono::duration<double>(effect.retryAfter).count()) });
    finish(
        effect.id, [&](bool keepAlive) { return protocol::writeCallerAnswer(refusal, isHeadRequest, keepAlive); },
        effect.closeConnection ? connection_persistence::close_after_requests : connection_persistence::keep_alive);
}

void caller_server::finish(state::request_id id, const answer_writer& write, connection_persistence persistence,
    std::shared_ptr<const void> held)
{
    const auto found = m_requests.find(static_cast<std::uint64_t>(id));
    const auto connection = found->second.connection.lock();
    m_requests.erase(found);
    if (connection)
        connection->answer(id, write, persistence, std::move(held));
}

void caller_server::drain()
{
    m_listener.forEach([](caller_connection& connection) { connection.drain(); });
}

} // namespace acaciaslip::transport::loop
