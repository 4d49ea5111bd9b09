#include "transport/loop/node_daemon.hpp"

#include "protocol/peer_codec.hpp"
#include "protocol/server_reports.hpp"
#include "transport/loop/attempt_connections.hpp"
#include "transport/loop/boot_clock.hpp"
#include "transport/loop/http_fetcher.hpp"
#include "transport/loop/node_caller_server.hpp"
#include "transport/loop/node_operators.hpp"
#include "transport/loop/udp_socket.hpp"
#include "transport/loop/value_exchange.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace acaciaslip::transport::loop {

namespace {

constexpr state::duration tickInterval = std::chrono::milliseconds { 10 }; ///< longest delay of a due decision
constexpr fetch_timeouts probeTimeouts { std::chrono::milliseconds { 500 }, std::chrono::milliseconds { 500 } };
constexpr state::duration platformConnectTimeout
    = std::chrono::milliseconds { 500 }; ///< after this the next address is tried
constexpr state::duration platformTimeoutMargin
    = std::chrono::milliseconds { 1000 }; ///< added to the requested long-poll wait
constexpr protocol::http::message_limits fetchLimits { 65536, 16ULL * 1024 * 1024 };
constexpr protocol::http::message_limits probeLimits { 8192, 65536 }; ///< reports are short JSON objects
constexpr std::uint64_t defaultMemoryDivisor = 2; ///< leaves memory to the other processes of a host
constexpr int statusOk = 200;
constexpr int statusNotModified = 304;
constexpr int statusNotFound = 404;

/// \return the revision of the value in an answer of the platform, or why the answer cannot be used
absl::StatusOr<state::revision> readRevision(const protocol::http::message& answer)
{
    if (answer.closeDelimited)
        return absl::DataLossError("the answer has no length, so that it may be incomplete");
    const auto number = protocol::parseRevision(protocol::http::findHeader(answer, "Revision").value_or(""));
    if (!number)
        return absl::InvalidArgumentError(
            fmt::format("the header Revision is not a whole number from 1 to {}", protocol::maxRevision));
    return *number;
}

caller_limits makeCallerLimits(const state::node_settings& settings)
{
    caller_limits limits;
    limits.message.bodyBytes = settings.maxBodyBytes;
    return limits;
}

coordination::memory_budget makeBudget(const state::node_settings& settings)
{
    if (settings.memoryBytes > 0)
        return coordination::makeMemoryBudget(settings.memoryBytes);
    const auto total = uv_get_total_memory();
    const auto constrained = uv_get_constrained_memory(); // 0: unknown
    return coordination::makeMemoryBudget(
        (constrained > 0 ? std::min(total, constrained) : total) / defaultMemoryDivisor);
}

coordination::log_level lowestLevel(const state::node_settings& settings)
{
    return state::findValue<coordination::log_level>(coordination::logLevelNames, settings.logLevel)
        .value_or(coordination::log_level::info);
}

} // namespace

struct node_daemon::parts {
    explicit parts(node_daemon& owner)
        : callers(
            owner.loop(), makeCallerLimits(owner.m_settings), [&owner](auto event) { owner.post(std::move(event)); })
        , attempts(owner.loop(), fmt::format("{}.{}", owner.m_settings.id, owner.m_incarnation),
              makeCallerLimits(owner.m_settings).message, [&owner](auto event) { owner.post(std::move(event)); })
        , operators(owner.m_process, owner.m_node, owner.m_memory, [&owner] { owner.drain(); })
        , probes(owner.loop(), probeLimits)
        , fetches(owner.loop(), fetchLimits)
        , values(owner.loop(), [&owner](auto event) { owner.post(std::move(event)); })
        , peers(owner.loop(),
              [&owner](const std::string& from, std::string_view datagram) {
                  auto message = protocol::decodeDatagram(datagram);
                  if (message.ok())
                      owner.post(coordination::peer_message_received { from, *std::move(message) });
                  else
                      owner.post(coordination::datagram_rejected { static_cast<std::uint32_t>(datagram.size()) });
              })
        , ticks(owner.loop(), [&owner] { owner.tick(); })
    {
    }

    node_caller_server callers;
    attempt_connections attempts;
    node_operators operators;
    http_fetcher probes;
    http_fetcher fetches;
    value_exchange values;
    udp_socket peers;
    timer ticks;
};

/// Carries out the effects that the node returns.
struct node_daemon::executor {
    node_daemon& owner;

    void operator()(const coordination::send_attempt& wanted) const { owner.m_parts->attempts.send(wanted); }
    void operator()(const coordination::cancel_attempt& wanted) const { owner.m_parts->attempts.cancel(wanted.id); }
    void operator()(const coordination::answer_caller& wanted) const { owner.m_parts->callers.answer(wanted); }
    void operator()(const coordination::refuse_caller& wanted) const { owner.m_parts->callers.refuse(wanted); }
    void operator()(const coordination::probe_server& wanted) const { owner.probe(wanted); }
    void operator()(const coordination::send_peer_message& wanted) const
    {
        // A datagram that cannot be encoded is skipped; later ones carry the same state.
        if (const auto bytes = protocol::encodeDatagram(wanted.message); bytes.ok())
            owner.m_parts->peers.send(wanted.address, *bytes);
    }
    void operator()(const coordination::fetch_value& wanted) const { owner.fetch(wanted); }
    void operator()(const coordination::reply_with_value& served) const { owner.m_parts->values.reply(served); }
    void operator()(const coordination::log_event& line) const { owner.log(line); }
    void operator()(const coordination::node_stopped& /*stopped*/) const
    {
        owner.m_parts->callers.stop([&daemon = owner] { daemon.close(); });
    }
};

node_daemon::node_daemon(const state::node_settings& settings)
    : m_settings(settings)
    , m_incarnation(static_cast<std::uint64_t>(unixNow().count()))
    , m_node(
          coordination::makeNode(settings, m_incarnation, [this](const auto& bodies) { return m_values.read(bodies); }))
    , m_random(makeSeed())
    , m_process(lowestLevel(settings))
    , m_memory(std::make_shared<coordination::memory_budget>(makeBudget(settings)))
    , m_queue([this](const auto& happened) { handle(happened); }, [] {})
    , m_parts(std::make_unique<parts>(*this))
{
    m_parts->callers.useBudget(m_memory);
    m_parts->attempts.useBudget(m_memory);
}

node_daemon::~node_daemon()
{
    if (!m_closed)
        close();
    m_parts.reset();
}

absl::Status node_daemon::start()
{
    if (auto status = m_parts->peers.bind(m_settings.peerAddress); !status.ok())
        return status;
    if (auto status = m_parts->values.listen(m_settings.peerAddress); !status.ok())
        return status;
    if (auto status = m_parts->operators.listen(m_settings.operatorAddress); !status.ok())
        return status;
    if (auto status = m_parts->callers.listen(m_settings.callerAddress); !status.ok())
        return status;
    m_parts->ticks.start(tickInterval);
    return absl::OkStatus();
}

void node_daemon::handle(const coordination::event& happened)
{
    coordination::handle(m_node, happened, bootNow(), m_random, m_effects);
    const auto effects = std::exchange(m_effects, {});
    for (const auto& effect : effects)
        std::visit(executor { *this }, effect);
}

void node_daemon::tick()
{
    m_parts->ticks.start(tickInterval);
    post(coordination::tick {});
}

void node_daemon::probe(const coordination::probe_server& wanted)
{
    const bool health = wanted.kind == coordination::probe_kind::health;
    const auto request = fmt::format("GET /acaciaslip/{} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
        state::findName(coordination::probeKindNames, wanted.kind), wanted.address);
    m_parts->probes.fetch(
        wanted.address, request, probeTimeouts, [this, health, server = wanted.server](const fetch_result& fetched) {
            const auto& answer = fetched.answer;
            coordination::probe_finished finished { server, false, {}, {} };
            if (answer && answer->status == statusOk) {
                if (health)
                    finished.health = protocol::readHealth(answer->body);
                else
                    finished.load = protocol::parseLoad(answer->body);
                finished.answered = finished.health.has_value() || finished.load.has_value();
            }
            post(std::move(finished));
        });
}

void node_daemon::fetch(const coordination::fetch_value& wanted)
{
    if (wanted.source == state::value_source::platform)
        return fetchFromPlatform(wanted);
    m_parts->values.fetch(wanted, [this, wanted](auto received) { handleFetchedValue(wanted, std::move(received)); });
}

void node_daemon::fetchFromPlatform(const coordination::fetch_value& wanted)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(wanted.wait);
    const auto request = fmt::format("GET /v1/values/{}?after={}&wait_ms={} HTTP/1.1\r\nHost: {}\r\n"
                                     "Connection: close\r\n\r\n",
        wanted.key, wanted.after, wait.count(), wanted.address);
    m_parts->fetches.fetch(wanted.address, request, { platformConnectTimeout, wanted.wait + platformTimeoutMargin },
        [this, wanted](const fetch_result& fetched) {
            const auto& answer = fetched.answer;
            std::optional<coordination::value_received> received;
            if (answer && answer->status == statusOk) {
                if (const auto number = readRevision(*answer); number.ok())
                    received = { wanted.key, *number, answer->body, wanted.source, wanted.address, wanted.requestedAt };
                else
                    log({ coordination::log_level::warning, "value_refused",
                        { { "key", wanted.key }, { "why", std::string(number.status().message()) } } });
            } else if (answer && (answer->status == statusNotModified || answer->status == statusNotFound)) {
                received = { wanted.key, 0, {}, wanted.source, wanted.address, wanted.requestedAt };
            }
            handleFetchedValue(wanted, std::move(received));
        });
}

void node_daemon::handleFetchedValue(
    const coordination::fetch_value& wanted, std::optional<coordination::value_received> received)
{
    if (!received)
        return post(coordination::value_read_failed { wanted.key, wanted.source, wanted.address, wanted.requestedAt });
    if (received->number == 0)
        return post(*std::move(received));
    // Parsing a large value takes tens of milliseconds, so it is parsed on a worker thread; the node then uses the
    // cached result.
    const auto value = std::make_shared<coordination::value_received>(*std::move(received));
    m_process.runInBackground([this, value] { m_values.parseAhead(value->key, value->body); },
        [this, value] {
            if (!m_closed)
                post(std::move(*value));
        });
}

void node_daemon::close()
{
    m_closed = true;
    m_parts->ticks.stop();
    m_parts->callers.close();
    m_parts->attempts.close();
    m_parts->operators.close();
    m_parts->probes.close();
    m_parts->fetches.close();
    m_parts->values.close();
    m_parts->peers.close();
    if (m_closing)
        m_closing();
    m_process.stop();
}

} // namespace acaciaslip::transport::loop
