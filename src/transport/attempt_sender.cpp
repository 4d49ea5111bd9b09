#include "transport/attempt_sender.hpp"

#include "transport/clock.hpp"
#include "transport/exchange.hpp"

#include <fmt/format.h>

namespace acaciaslip::transport {

namespace {

constexpr std::size_t ringCapacity = 4096;

httplib::Request makeRequest(const httplib::Request& original, const std::string& attemptId, state::duration remaining)
{
    httplib::Request request;
    request.method = original.method;
    request.path = original.target;
    request.body = original.body;
    for (const auto& [name, value] : original.headers) {
        if (!isHopByHop(name) && name != "Content-Length" && name != "REMOTE_ADDR" && name != "REMOTE_PORT"
            && name != "LOCAL_ADDR" && name != "LOCAL_PORT" && name != "Request-Timeout-Ms")
            request.headers.emplace(name, value);
    }
    request.set_header("Acaciaslip-Request", attemptId);
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    request.set_header("Request-Timeout-Ms", std::to_string(milliseconds));
    return request;
}

} // namespace

attempt_sender::attempt_sender(decision_thread& decisions, std::string attemptPrefix, std::size_t threads)
    : m_decisions(decisions)
    , m_attemptPrefix(std::move(attemptPrefix))
    , m_workers(
          "attempt", threads, ringCapacity, [this](const coordination::send_attempt& attempt) { carryOut(attempt); })
{
}

void attempt_sender::send(coordination::send_attempt attempt)
{
    const auto id = attempt.id;
    if (!m_workers.tryPush(std::move(attempt)))
        (void)m_decisions.tryPost(coordination::attempt_finished { id, state::attempt_outcome::no_connection, 0, {} });
}

void attempt_sender::cancel(const coordination::cancel_attempt& /*cancelled*/) { }

void attempt_sender::stop()
{
    m_workers.stop();
}

void attempt_sender::carryOut(const coordination::send_attempt& attempt)
{
    coordination::attempt_finished finished { attempt.id, state::attempt_outcome::no_connection, 0, {} };
    if (auto connection = m_connections.take(attempt.address, attempt.connectionShare)) {
        const auto& original = static_cast<const exchange&>(*attempt.body).request;
        const auto remaining = attempt.deadline - monotonicNow();
        const auto attemptId = fmt::format("{}-{}", m_attemptPrefix, static_cast<std::uint64_t>(attempt.id));
        auto request = makeRequest(original, attemptId, remaining);
        auto result = connection->exchange(
            request, attemptId, [&] { return mayWriteFirstByte(attempt, monotonicNow()); }, remaining);
        finished.outcome = result.outcome;
        if (result.outcome == state::attempt_outcome::answered) {
            finished.status = result.response.status;
            auto answer = std::make_shared<server_answer>();
            answer->response = std::move(result.response);
            finished.answer = std::move(answer);
        }
        m_connections.giveBack(std::move(connection), result.poisoned);
    }
    m_decisions.post(std::move(finished));
}

} // namespace acaciaslip::transport
