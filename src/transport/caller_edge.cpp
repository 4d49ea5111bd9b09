#include "transport/caller_edge.hpp"

#include "transport/address.hpp"

#include <array>
#include <chrono>

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <pthread.h>

namespace acaciaslip::transport {

namespace {

constexpr std::array<std::string_view, 5> idempotentMethods { "GET", "HEAD", "PUT", "DELETE", "OPTIONS" };

bool isIdempotentMethod(std::string_view method)
{
    return std::find(idempotentMethods.begin(), idempotentMethods.end(), method) != idempotentMethods.end();
}

coordination::request_arrived describe(state::request_id id, const std::shared_ptr<exchange>& taken)
{
    const auto& request = taken->request;
    coordination::request_arrived arrived;
    arrived.id = id;
    arrived.host = request.get_header_value("Host");
    arrived.host = arrived.host.substr(0, arrived.host.rfind(':'));
    arrived.path = request.path;
    arrived.idempotentMethod = isIdempotentMethod(request.method);
    arrived.idempotencyKey = request.get_header_value("Idempotency-Key");
    std::int64_t timeout = 0;
    if (absl::SimpleAtoi(request.get_header_value("Request-Timeout-Ms"), &timeout) && timeout > 0)
        arrived.timeout = std::chrono::milliseconds { timeout };
    arrived.body = taken;
    return arrived;
}

int statusOf(state::refusal_reason reason)
{
    switch (reason) {
    case state::refusal_reason::no_route:
        return 404;
    case state::refusal_reason::duplicate_key:
        return 409;
    case state::refusal_reason::deadline_exceeded:
        return 504;
    case state::refusal_reason::broken_answer:
        return 502;
    case state::refusal_reason::no_server:
    case state::refusal_reason::overloaded:
    case state::refusal_reason::leaving:
        return 503;
    }
    return 503;
}

void write(const coordination::answer_caller& answered, httplib::Response& response)
{
    const auto& source = static_cast<const server_answer&>(*answered.answer).response;
    response.status = source.status;
    response.body = source.body;
    for (const auto& [name, value] : source.headers) {
        if (!isHopByHop(name) && name != "Content-Length" && name != "Acaciaslip-Request")
            response.headers.emplace(name, value);
    }
    response.set_header("Acaciaslip-Verdict", "ran");
    response.set_header("Acaciaslip-Server", answered.server);
    response.set_header("Acaciaslip-Attempts", std::to_string(answered.attempts));
}

void write(const coordination::refuse_caller& refused, httplib::Response& response)
{
    response.status = statusOf(refused.reason);
    response.set_header("Acaciaslip-Verdict", std::string(state::findName(state::verdictNames, refused.outcome)));
    response.set_header("Acaciaslip-Attempts", std::to_string(refused.attempts));
    if (refused.outcome == state::verdict::not_run && response.status == 503) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(refused.retryAfter).count();
        response.set_header("Retry-After", std::to_string(seconds));
    }
    response.set_content(fmt::format("{}\n", state::findName(state::refusalReasonNames, refused.reason)), "text/plain");
}

} // namespace

caller_edge::caller_edge(decision_thread& decisions, const state::node_settings& settings)
    : m_decisions(decisions)
    , m_settings(settings)
{
    const auto handler
        = [this](const httplib::Request& request, httplib::Response& response) { carry(request, response); };
    m_server.set_tcp_nodelay(true);
    m_server.set_payload_max_length(settings.maxBodyBytes);
    m_server.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
    m_server.new_task_queue = [threads = settings.callerThreads] { return new httplib::ThreadPool(threads); };
    m_server.Get(".*", handler);
    m_server.Post(".*", handler);
    m_server.Put(".*", handler);
    m_server.Patch(".*", handler);
    m_server.Delete(".*", handler);
    m_server.Options(".*", handler);
}

absl::Status caller_edge::start()
{
    const auto parsed = parseAddress(m_settings.callers);
    if (!parsed.ok())
        return parsed.status();
    if (!m_server.bind_to_port(parsed->ip, parsed->port))
        return absl::UnavailableError(fmt::format("cannot listen on {} for callers", m_settings.callers));
    m_listener = std::thread([this] { m_server.listen_after_bind(); });
    pthread_setname_np(m_listener.native_handle(), "callers");
    return absl::OkStatus();
}

void caller_edge::finish(caller_result result)
{
    const auto id = std::visit([](const auto& known) { return known.id; }, result);
    std::shared_ptr<exchange> waiting;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_open.find(id);
        if (found == m_open.end())
            return;
        waiting = std::move(found->second);
        m_open.erase(found);
    }
    waiting->result.set_value(std::move(result));
}

void caller_edge::stop()
{
    m_server.stop();
    if (m_listener.joinable())
        m_listener.join();
}

void caller_edge::carry(const httplib::Request& request, httplib::Response& response)
{
    const auto id = state::request_id { m_nextRequest++ };
    auto taken = std::make_shared<exchange>();
    taken->request = request;
    auto result = taken->result.get_future();
    {
        const std::lock_guard lock(m_mutex);
        m_open[id] = taken;
    }
    m_decisions.post(describe(id, taken));
    std::visit([&](const auto& known) { write(known, response); }, result.get());
}

} // namespace acaciaslip::transport
