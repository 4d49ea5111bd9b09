#include "transport/loop/gateway_daemon.hpp"

#include "protocol/gateway_dump.hpp"
#include "transport/loop/boot_clock.hpp"

#include <random>
#include <utility>

#include <unistd.h>

namespace acaciaslip::transport::loop {

namespace {

constexpr state::duration quietPoll = std::chrono::milliseconds { 10 }; ///< while the last answers go out
constexpr state::duration longestFarewell = std::chrono::milliseconds { 500 }; ///< for the last answers to go out
constexpr int statusUnavailable = 503;
constexpr int statusNotFound = 404;

std::uint64_t makeSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

gateway_daemon::parts::parts(gateway_daemon& owner, const protocol::server_dialect& dialect)
    : callers(&owner.m_loop, dialect, [&owner](auto event) { owner.post(std::move(event)); })
    , servers(
          &owner.m_loop, dialect, [&owner](auto event) { owner.post(std::move(event)); },
          [this](state::request_id id) { return callers.findRequest(id); })
    , health(&owner.m_loop,
          [&owner](const protocol::http::message&) {
              const bool ready = coordination::gateway::isReady(owner.m_node);
              return service_answer { ready ? 200 : statusUnavailable, "text/plain",
                  ready ? "ready\n" : "not ready\n" };
          })
    , operators(
          &owner.m_loop, [&owner](const protocol::http::message& request) { return owner.answerOperator(request); })
    , wakeUp(&owner.m_loop,
          [&owner] {
              owner.m_wakeUpAt.reset();
              owner.post(coordination::gateway::timer_expired {});
          })
    , exit(&owner.m_loop, [&owner] { owner.finishWhenQuiet(); })
{
}

gateway_daemon::gateway_daemon(gateway_settings settings)
    : m_settings(std::move(settings))
    , m_node(coordination::gateway::makeNode(m_settings.node, bootNow()))
    , m_random(makeSeed())
    , m_log(STDOUT_FILENO, m_settings.lowestLevel)
{
    uv_loop_init(&m_loop);
    // Lines go out once a turn of the loop, before it waits.
    uv_prepare_init(&m_loop, &m_prepare);
    m_prepare.data = this;
    uv_prepare_start(
        &m_prepare, [](uv_prepare_t* handle) { static_cast<gateway_daemon*>(handle->data)->m_log.flush(); });
    m_parts = std::make_unique<parts>(*this, m_settings.dialect);
}

gateway_daemon::~gateway_daemon()
{
    m_parts.reset();
    uv_close(reinterpret_cast<uv_handle_t*>(&m_prepare), nullptr);
    uv_run(&m_loop, UV_RUN_DEFAULT);
    uv_loop_close(&m_loop);
}

absl::Status gateway_daemon::start()
{
    if (auto status = m_parts->health.listen(m_settings.health); !status.ok())
        return status;
    if (!m_settings.operators.empty()) {
        if (auto status = m_parts->operators.listen(m_settings.operators); !status.ok())
            return status;
    }
    return m_parts->callers.listen(m_settings.callers);
}

void gateway_daemon::run()
{
    uv_run(&m_loop, UV_RUN_DEFAULT);
    m_log.flush();
}

void gateway_daemon::post(coordination::gateway::event happened)
{
    m_queue.push_back(std::move(happened));
    if (!std::exchange(m_handling, true)) {
        handleQueued();
        m_handling = false;
    }
}

void gateway_daemon::handleQueued()
{
    while (!m_queue.empty()) {
        const auto happened = std::move(m_queue.front());
        m_queue.pop_front();
        coordination::gateway::handle(m_node, happened, bootNow(), m_random, m_effects);
        auto effects = std::exchange(m_effects, {});
        for (auto& effect : effects)
            carryOut(effect);
    }
    applyChanges();
    scheduleWakeUp();
}

void gateway_daemon::carryOut(coordination::gateway::effect& wanted)
{
    namespace gateway = coordination::gateway;
    if (auto* ask = std::get_if<gateway::ask_server>(&wanted))
        m_parts->servers.ask(*ask);
    else if (auto* send = std::get_if<gateway::send_request>(&wanted))
        m_parts->servers.send(*send);
    else if (auto* cancel = std::get_if<gateway::cancel_attempt>(&wanted))
        m_parts->servers.cancel(cancel->id);
    else if (auto* answer = std::get_if<gateway::answer_caller>(&wanted))
        m_parts->callers.answer(*answer, m_parts->servers.takeAnswer(answer->attempt));
    else if (auto* refusal = std::get_if<gateway::refuse_caller>(&wanted))
        m_parts->callers.refuse(*refusal);
    else if (auto* discarded = std::get_if<gateway::discard_answer>(&wanted))
        m_parts->servers.dropAnswer(discarded->attempt);
    else if (auto* line = std::get_if<coordination::log_event>(&wanted))
        m_log.write(*line);
    else if (std::holds_alternative<coordination::node_stopped>(wanted)) {
        m_stopped = true;
        m_stoppedAt = bootNow();
        m_parts->exit.start(quietPoll);
    }
}

void gateway_daemon::applyChanges()
{
    if (m_node.config.get() != m_appliedConfig) {
        m_appliedConfig = m_node.config.get();
        const auto& limits = m_appliedConfig->limits;
        m_parts->callers.setLimits(
            { { limits.headerBytes, limits.bodyBytes }, limits.headerTimeout, limits.idleTimeout });
    }
    if (m_node.phase >= coordination::gateway::node_phase::draining && !std::exchange(m_left, true))
        m_parts->callers.leave();
}

void gateway_daemon::scheduleWakeUp()
{
    const auto next = coordination::gateway::nextWakeUp(m_node);
    if (next == m_wakeUpAt)
        return;
    m_wakeUpAt = next;
    if (next)
        m_parts->wakeUp.start(*next - bootNow());
    else
        m_parts->wakeUp.stop();
}

void gateway_daemon::finishWhenQuiet()
{
    const bool quiet = m_parts->callers.isQuiet() && m_node.requests.empty();
    if (quiet || bootNow() - m_stoppedAt >= longestFarewell)
        close();
    else
        m_parts->exit.start(quietPoll);
}

void gateway_daemon::close()
{
    m_log.write({ coordination::log_level::info, "stopped", { { "id", m_settings.node.id } } });
    m_parts->callers.close();
    m_parts->servers.close();
    m_parts->health.close();
    m_parts->operators.close();
    if (m_closing)
        m_closing();
    uv_stop(&m_loop);
}

service_answer gateway_daemon::answerOperator(const protocol::http::message& request)
{
    const auto path = protocol::http::pathOf(request.target);
    if (path == "/metrics") {
        loop_gauges gauges { m_parts->servers.opened(), m_log.dropped(), 0, 0 };
        if (m_moreGauges)
            m_moreGauges(gauges);
        return { 200, "text/plain; version=0.0.4", writeGatewayMetrics(m_node, gauges, bootNow()) };
    }
    if (path == "/dump")
        return { 200, "application/json", protocol::describeGateway(m_node, bootNow()).dump() + "\n" };
    if (m_extension) {
        if (auto answer = m_extension(request))
            return std::move(*answer);
    }
    return { statusNotFound, "text/plain", "no such path\n" };
}

} // namespace acaciaslip::transport::loop
