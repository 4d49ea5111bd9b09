#include "soak/platform_standin.hpp"

#include <array>

#include <absl/strings/escaping.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace acaciaslip::soak {

using nlohmann::json;
using protocol::http::message;
using transport::loop::caller_connection;
using transport::loop::timer;

namespace {

constexpr std::uint32_t slots = 4;
constexpr std::chrono::milliseconds minServiceTime { 5 };
constexpr std::chrono::milliseconds lateServiceTime { 1200 }; ///< above the routes' timeout of 1 s
constexpr std::uint32_t serviceTimeRange = 40; ///< milliseconds above the minimum

std::uint64_t parseUnsigned(const message& request, std::string_view name)
{
    const auto text = protocol::http::findParameter(request.target, name);
    return text ? std::strtoull(std::string(*text).c_str(), nullptr, 10) : 0; // NOLINT: decimal
}

} // namespace

http_standin::http_standin(uv_loop_t* loop, handler handle)
    : m_handle(std::move(handle))
    , m_listener(loop, [this](uv_stream_t* listener) { accept(listener); })
{
    (void)m_listener.listen("127.0.0.1:0");
}

http_standin::~http_standin()
{
    const auto connections = m_connections;
    for (const auto& connection : connections)
        connection->close();
}

std::string http_standin::address() const
{
    return "127.0.0.1:" + std::to_string(m_listener.port());
}

void http_standin::accept(uv_stream_t* listener)
{
    const auto holder = std::make_shared<std::weak_ptr<caller_connection>>();
    transport::loop::caller_connection_callbacks callbacks;
    callbacks.nextRequestId = [this] { return state::request_id { m_nextRequest++ }; };
    callbacks.requestReceived = [this, holder](state::request_id id, const message& request) {
        m_handle(request, [holder, id](const std::string& bytes) {
            if (const auto connection = holder->lock())
                connection->answer(
                    id, [&](bool /*keepAlive*/) { return bytes; }, transport::loop::connection_persistence::keep_alive);
        });
    };
    callbacks.callerDisconnected = [](state::request_id) {};
    callbacks.closed = [this, holder] { m_connections.erase(holder->lock()); };
    const auto connection = caller_connection::accept(listener, {}, std::move(callbacks));
    if (!connection)
        return;
    *holder = connection;
    m_connections.insert(connection);
}

store_standin::store_standin(uv_loop_t* loop)
    : m_loop(loop)
    , m_http(loop, [this](const message& request, const http_standin::reply& reply) { handle(request, reply); })
{
}

void store_standin::put(const std::string& key, const std::optional<std::string>& value)
{
    m_items[key] = { ++m_revision, value };
    answerWatches();
}

void store_standin::handle(const message& request, const http_standin::reply& reply)
{
    if (m_malformed)
        return reply(writeJson(200, R"({"as-of":"x","has-more":1,"items":{},"events":[[[]]]})"));
    const auto prefix = protocol::http::findParameter(request.target, "path-prefix").value_or("");
    if (protocol::http::extractPath(request.target) == "/kv-range")
        return reply(writeJson(200, listItems(prefix)));
    const auto after = parseUnsigned(request, "after");
    if (after != m_revision)
        return answerWatch(after, reply);
    auto limit = std::make_unique<timer>(m_loop, [this] { answerWatches(); });
    limit->start(std::chrono::milliseconds { parseUnsigned(request, "wait-ms") });
    m_watches.push_back({ after, reply, std::move(limit) });
}

/// Answers all pending watches with the events since their revision. The list of events may be empty.
void store_standin::answerWatches()
{
    for (const auto& watch : std::exchange(m_watches, {}))
        answerWatch(watch.after, watch.reply);
}

void store_standin::answerWatch(std::uint64_t after, const http_standin::reply& reply) const
{
    constexpr int gone = 410;
    reply(after > m_revision ? writeJson(gone, "{}") : writeJson(200, listEvents(after)));
}

std::string store_standin::writeJson(int status, const std::string& body) const
{
    return fmt::format(
        "HTTP/1.1 {} X\r\nStore-Era: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}", status,
        m_era, body.size(), body);
}

void store_standin::restore()
{
    std::tie(m_items, m_revision) = m_copy;
    ++m_era;
    answerWatches();
}

std::string store_standin::listItems(std::string_view prefix) const
{
    auto items = json::array();
    for (const auto& [key, known] : m_items) {
        if (known.value && key.starts_with(prefix))
            items.push_back(
                { { "key", key }, { "value", absl::Base64Escape(*known.value) }, { "revision", known.revision } });
    }
    return json { { "items", items }, { "has-more", false }, { "as-of", m_revision } }.dump();
}

std::string store_standin::listEvents(std::uint64_t after) const
{
    auto events = json::array();
    for (const auto& [key, known] : m_items) {
        if (known.revision <= after)
            continue;
        json event { { "key", key }, { "revision", known.revision } };
        if (known.value)
            event["value"] = absl::Base64Escape(*known.value);
        else
            event["compacted"] = true;
        events.push_back(std::move(event));
    }
    return json { { "events", events }, { "as-of", m_revision } }.dump();
}

namespace {

/// Turns an answer into one that is no HTTP.
std::string makeMalformed(const std::string& answer, std::uint32_t choice)
{
    constexpr std::string_view start = "HTTP/1.1 200 X\r\n";
    const auto rest = answer.substr(start.size());
    switch (choice % 4) {
    case 0:
        return "HTTP/9 OK\r\n" + rest;
    case 1:
        return "HTTP/1.1 000 X\r\n" + rest;
    case 2:
        return fmt::format("{}A field: x\r\n{}", start, rest);
    default:
        return fmt::format("{}A\x01: x\r\n{}", start, rest);
    }
}

} // namespace

server_standin::server_standin(
    uv_loop_t* loop, std::string id, std::string service, guarantee_checker& checker, std::mt19937& random)
    : m_loop(loop)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_checker(checker)
    , m_random(random)
    , m_http(loop, [this](const message& request, const http_standin::reply& reply) { handle(request, reply); })
{
}

std::string server_standin::head(int status, const std::string& id, std::size_t length) const
{
    auto text = fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\nX-Acaciaslip-Instance-Id: {}\r\n"
                            "X-Acaciaslip-Backend-Load: {},0,{}\r\n",
        status, length, m_id, m_running, slots);
    if (!id.empty())
        text += fmt::format("X-Acaciaslip-Request-Id: {}\r\nX-Acaciaslip-Response-Seal: {}\r\n", id, m_id);
    if (m_limitPerSecond)
        text += fmt::format("Server-Limit: {}\r\n", *m_limitPerSecond);
    return text;
}

std::string server_standin::writeAnswer(const std::string& id) const
{
    constexpr std::size_t unfinishedBytes = 65536;
    constexpr std::array<int, 3> failures { 408, 429, 503 };
    const auto body = "ran " + id;
    auto answer = head(200, id, body.size()) + "\r\n" + body;
    switch (m_fault) {
    case server_fault::malformed:
        return makeMalformed(answer, m_random());
    case server_fault::unfinished:
        return head(200, id, 2 * unfinishedBytes) + "\r\n" + std::string(unfinishedBytes, 'x');
    case server_fault::duplicate:
        return answer + answer;
    case server_fault::repeats_refusal: // of an earlier request, before the answer
        return head(503, {}, 0) + "X-Acaciaslip-Not-Executed: 1\r\n\r\n" + answer;
    case server_fault::fails_after_run:
        return head(failures[m_runs % failures.size()], id, body.size()) + "\r\n" + body;
    default:
        return answer;
    }
}

void server_standin::handle(const message& request, const http_standin::reply& reply)
{
    if (request.target == "/health")
        return reply(head(200, {}, 0) + "\r\n");
    const std::string id(protocol::http::findHeader(request, "X-Acaciaslip-Request-Id").value_or(""));
    if (protocol::http::findHeader(request, "X-Acaciaslip-Expect-Instance") != std::string_view(m_id))
        return reply(head(421, id, 0) + "\r\n");
    if (m_fault == server_fault::sheds || m_running >= slots) {
        const auto refusal
            = [this](const std::string& to) { return head(503, to, 0) + "X-Acaciaslip-Not-Executed: 1\r\n\r\n"; };
        return reply(refusal(id) + (m_fault == server_fault::repeats_refusal ? refusal({}) : ""));
    }
    m_checker.recordRun(id, m_service);
    ++m_running;
    ++m_runs;
    auto* const work = new std::unique_ptr<timer>;
    *work = std::make_unique<timer>(m_loop, [this, id, reply, work] {
        --m_running;
        reply(writeAnswer(id));
        delete work;
    });
    const auto shortest = m_fault == server_fault::late ? lateServiceTime : minServiceTime;
    (*work)->start(shortest + std::chrono::milliseconds { m_random() % serviceTimeRange });
}

} // namespace acaciaslip::soak
