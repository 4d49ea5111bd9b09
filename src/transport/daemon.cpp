#include "transport/daemon.hpp"

#include "protocol/fleet_settings_reader.hpp"
#include "transport/attempt_sender.hpp"
#include "transport/caller_edge.hpp"
#include "transport/decision_thread.hpp"
#include "transport/event_sink.hpp"
#include "transport/logger.hpp"
#include "transport/operators_edge.hpp"
#include "transport/peer_link.hpp"
#include "transport/server_prober.hpp"
#include "transport/value_reader.hpp"

#include <chrono>
#include <future>
#include <random>

#include <fmt/format.h>

namespace acaciaslip::transport {

namespace {

/// Rises with each start, also on a replaced host: no disk keeps a counter.
std::uint64_t makeIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

std::uint64_t makeSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

protocol::message_limits limitMessages(const state::node_settings& settings)
{
    protocol::message_limits limits;
    limits.bodyBytes = settings.maxBodyBytes;
    return limits;
}

} // namespace

/// Every part, in the order in which they may refer to each other.
struct daemon::parts {
    explicit parts(const state::node_settings& settings, std::uint64_t incarnation)
        : decisions(
            coordination::makeNode(settings, incarnation, [this](const auto& bodies) { return values.read(bodies); }),
            makeSeed(),
            [this](coordination::effect&& wanted) {
                std::visit([this](auto& known) { carryOut(std::move(known)); }, wanted);
            })
        , callers(makeSink(), settings)
        , operators(decisions, settings)
        , attempts(makeSink(), fmt::format("{}.{}", settings.id, incarnation), settings.callerThreads,
              limitMessages(settings))
        , prober(decisions)
        , reader(decisions,
              [this](const coordination::value_received& received) {
                  if (received.number > 0)
                      values.prepare(received.key, received.body);
              })
        , peers(decisions, settings)
    {
    }

    event_sink makeSink()
    {
        return { [this](coordination::event&& happened) { decisions.post(std::move(happened)); },
            [this](coordination::event&& happened) { return decisions.tryPost(std::move(happened)); } };
    }

    void carryOut(coordination::send_attempt&& wanted) { attempts.send(std::move(wanted)); }
    void carryOut(const coordination::cancel_attempt& wanted) { attempts.cancel(wanted); }
    void carryOut(coordination::answer_caller&& wanted) { callers.finish(std::move(wanted)); }
    void carryOut(const coordination::refuse_caller& wanted) { callers.finish(wanted); }
    void carryOut(coordination::probe_server&& wanted) { prober.probe(std::move(wanted)); }
    void carryOut(coordination::tell_peer&& wanted) { peers.tell(std::move(wanted)); }
    void carryOut(coordination::fetch_value&& wanted) { reader.read(std::move(wanted)); }
    void carryOut(coordination::serve_value&& served) { peers.serve(std::move(served)); }
    void carryOut(const coordination::log_event& event) { writeLog(event); }
    void carryOut(const coordination::node_stopped& /*stopped*/) { stopped.set_value(); }

    std::promise<void> stopped;
    protocol::fleet_settings_cache values;
    decision_thread decisions;
    caller_edge callers;
    operators_edge operators;
    attempt_sender attempts;
    server_prober prober;
    value_reader reader;
    peer_link peers;
};

daemon::daemon(const state::node_settings& settings)
    : m_parts(std::make_unique<parts>(settings, makeIncarnation()))
{
}

daemon::~daemon() = default;

absl::Status daemon::start()
{
    if (auto status = m_parts->callers.start(); !status.ok())
        return status;
    if (auto status = m_parts->operators.start(); !status.ok())
        return status;
    if (auto status = m_parts->peers.start(); !status.ok())
        return status;
    m_parts->decisions.start();
    return absl::OkStatus();
}

void daemon::drain()
{
    m_parts->decisions.post(coordination::drain_requested {});
}

void daemon::join()
{
    m_parts->stopped.get_future().wait();
    m_parts->callers.stop();
    m_parts->operators.stop();
    m_parts->attempts.stop();
    m_parts->prober.stop();
    m_parts->reader.stop();
    m_parts->peers.stop();
    m_parts->decisions.stop();
}

} // namespace acaciaslip::transport
