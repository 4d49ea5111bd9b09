#include "transport/loop/node_operators.hpp"

#include "protocol/dump.hpp"
#include "protocol/node_snapshot.hpp"
#include "transport/loop/boot_clock.hpp"
#include "transport/loop/timer.hpp"
#include "transport/metrics.hpp"

#include <utility>

#include <fmt/format.h>

namespace acaciaslip::transport::loop {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusNotAllowed = 405;
constexpr int statusUnavailable = 503;
constexpr auto replaceInvalid = nlohmann::json::error_handler_t::replace; ///< replaces text that is not UTF-8
constexpr std::string_view json = "application/json";

} // namespace

/// A snapshot of the node. It copies a few servers per loop iteration, so that no request is delayed by a full copy.
struct node_operators::snapshot_copy {
    protocol::node_snapshot snapshot;
    process_gauges gauges;
    bool isDump = false; ///< true for a dump, false for metrics
    service_answer answer;
    http_service::reply reply;
    std::unique_ptr<timer> next;
};

node_operators::node_operators(process_loop& process, const coordination::node& node,
    std::shared_ptr<const coordination::memory_budget> memory, std::function<void()> drain)
    : m_process(process)
    , m_node(node)
    , m_memory(std::move(memory))
    , m_drain(std::move(drain))
    , m_service(process.handle(), [this](const auto& request, const auto& reply) { answer(request, reply); })
{
}

node_operators::~node_operators() = default;

void node_operators::close()
{
    m_copies.clear();
    m_service.close();
}

void node_operators::answer(const protocol::http::message& request, const http_service::reply& reply)
{
    const auto path = protocol::http::extractPath(request.target);
    const bool isDrain = path == "/drain";
    if (isDrain != (request.method == "POST"))
        return reply({ statusNotAllowed, "text/plain", "POST drains; everything else is read with GET\n" });
    if (isDrain) {
        m_drain();
        return reply({ statusOk, std::string(json), "{\"state\":\"leaving\"}\n" });
    }
    if (path == "/health")
        return answerHealth(reply);
    if (path != "/dump" && path != "/metrics")
        return reply({ statusNotFound, "text/plain", "no such path; there are /health, /dump, /metrics and /drain\n" });
    const auto copy = std::make_shared<snapshot_copy>();
    copy->snapshot = protocol::copyOverview(m_node, bootNow());
    copy->gauges = { m_process.log().dropped(), *m_memory };
    copy->isDump = path == "/dump";
    copy->reply = reply;
    m_copies.insert(copy);
    copy->next = std::make_unique<timer>(m_process.handle(), [this, weak = std::weak_ptr(copy)] {
        if (const auto more = weak.lock())
            copyNextServers(more);
    });
    copyNextServers(copy);
}

void node_operators::answerHealth(const http_service::reply& reply) const
{
    const bool isServing = m_node.phase == coordination::node_phase::serving;
    reply({ isServing ? statusOk : statusUnavailable, std::string(json),
        fmt::format("{{\"state\":\"{}\"}}\n", state::findName(coordination::nodePhaseNames, m_node.phase)) });
}

void node_operators::copyNextServers(const std::shared_ptr<snapshot_copy>& copy)
{
    if (protocol::copyServers(m_node, bootNow(), copy->snapshot))
        return copy->next->start(state::duration::zero());
    copy->next.reset();
    m_copies.erase(copy);
    m_process.runInBackground(
        [copy] {
            copy->answer = copy->isDump
                ? service_answer { statusOk, std::string(json),
                      protocol::snapshotToJson(copy->snapshot).dump(2, ' ', false, replaceInvalid) }
                : service_answer { statusOk, "text/plain; version=0.0.4", writeMetrics(copy->snapshot, copy->gauges) };
        },
        [copy] { copy->reply(copy->answer); });
}

} // namespace acaciaslip::transport::loop
