#include "transport/server_prober.hpp"

#include "protocol/server_reports.hpp"
#include "transport/address.hpp"

#include <httplib.h>

namespace acaciaslip::transport {

namespace {

constexpr std::size_t threads = 4;
constexpr std::size_t ringCapacity = 4096;
constexpr std::chrono::milliseconds probeTimeout { 500 };
constexpr int statusOk = 200;

} // namespace

server_prober::server_prober(decision_thread& decisions)
    : m_decisions(decisions)
    , m_workers("probe", threads, ringCapacity, [this](const coordination::probe_server& wanted) { carryOut(wanted); })
{
}

void server_prober::probe(coordination::probe_server wanted)
{
    coordination::probe_finished unanswered { wanted.server, false, {}, {} };
    if (!m_workers.tryPush(std::move(wanted)))
        (void)m_decisions.tryPost(std::move(unanswered));
}

void server_prober::stop()
{
    m_workers.stop();
}

void server_prober::carryOut(const coordination::probe_server& wanted)
{
    coordination::probe_finished finished { wanted.server, false, {}, {} };
    if (const auto parsed = parseAddress(wanted.address); parsed.ok()) {
        httplib::Client client(parsed->ip, parsed->port);
        client.set_tcp_nodelay(true);
        client.set_connection_timeout(probeTimeout);
        client.set_read_timeout(probeTimeout);
        const bool health = wanted.kind == coordination::probe_kind::health;
        const auto answer = client.Get(health ? "/acaciaslip/health" : "/acaciaslip/load");
        if (answer && answer->status == statusOk) {
            if (health)
                finished.health = protocol::readHealth(answer->body);
            else
                finished.load = protocol::readLoad(answer->body);
            finished.answered = finished.health.has_value() || finished.load.has_value();
        }
    }
    m_decisions.post(std::move(finished));
}

} // namespace acaciaslip::transport
