/// Measures the cost of one idle node by fleet size: memory, CPU time, datagrams, bytes, reads and probes.
///
/// Runs the actual logic of one node in virtual time. Each datagram that the node sends is returned to it as one from
/// the addressed peer, so that it receives datagrams at the rate at which it sends them. Usage: capacity_comparison
/// [--csv]

#include "coordination/node.hpp"
#include "protocol/peer_codec.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>
#include <malloc.h>

namespace acaciaslip::coordination {
namespace {

constexpr int dataCentres = 11;
constexpr state::duration tickInterval = std::chrono::milliseconds { 10 };
constexpr std::chrono::seconds settleTime { 10 };
constexpr std::chrono::seconds measuredTime { 20 };

struct fleet_size {
    std::size_t servers;
    std::size_t services;
    std::size_t entryHosts;
};

constexpr fleet_size sizes[] = { { 34, 4, 16 }, { 350, 13, 16 }, { 1400, 53, 16 }, { 1400, 53, 32 }, { 1400, 53, 64 } };

struct cost {
    double memoryBytes = 0;
    double processorShare = 0; ///< share of one core
    double datagramsSent = 0; ///< per second
    double bytesSent = 0; ///< per second, including IP and UDP headers
    double bytesReceived = 0; ///< per second, including IP and UDP headers
    double platformReads = 0; ///< per second
    double peerReads = 0; ///< per second
    double probes = 0; ///< per second
};

std::string peerAddress(std::size_t host)
{
    return fmt::format("10.0.{}.{}:7400", host / 250, host % 250 + 1);
}

state::fleet_settings makeSettings(const fleet_size& size)
{
    state::fleet_settings settings;
    for (std::size_t number = 0; number < size.services; ++number) {
        auto& service = settings.services.emplace_back();
        service.name = { "team", fmt::format("service-{}", number) };
        service.pathPrefix = fmt::format("/service-{}", number);
        settings.indexedRevisions[fmt::format("acaciaslip/teams/team-{}", number)] = 1;
    }
    for (std::size_t number = 0; number < size.servers + size.entryHosts; ++number) {
        const bool entry = number < size.entryHosts;
        auto& host = settings.hosts.emplace_back();
        host.id = fmt::format("{}-{:04}", entry ? "entry" : "server", number);
        host.address = fmt::format("10.1.{}.{}:80", number / 250, number % 250 + 1);
        host.dataCentre = fmt::format("dc-{:02}", number % dataCentres);
        host.kind = entry ? state::host_kind::entry : state::host_kind::server;
        host.service = settings.services[number % size.services].name;
        host.peerAddress = entry ? peerAddress(number) : "";
    }
    return settings;
}

/// A node whose reads and probes are answered immediately and whose peers send no messages of their own.
class isolated_node {
public:
    explicit isolated_node(const fleet_size& size)
        : m_size(size)
    {
        auto settings = std::make_shared<state::fleet_settings>(makeSettings(size));
        state::node_settings own;
        own.id = "entry-0000";
        own.dataCentre = "dc-00";
        own.platformAddresses = { "10.2.0.1:8500" };
        m_node
            = makeNode(own, 1, [settings](const auto&) -> absl::StatusOr<state::fleet_settings> { return *settings; });
    }

    void advance(state::duration span, cost& counted)
    {
        for (const auto end = m_now + span; m_now < end; m_now += tickInterval) {
            effect_list effects;
            handle(m_node, tick {}, m_now, m_random, effects);
            for (const auto& wanted : effects)
                std::visit([&](const auto& known) { answer(known, counted); }, wanted);
        }
    }

    [[nodiscard]] const node& self() const noexcept { return m_node; }

private:
    template <typename Other> void answer(const Other& /*wanted*/, cost& /*counted*/) { }

    void deliver(const event& delivered)
    {
        effect_list effects;
        handle(m_node, delivered, m_now, m_random, effects);
    }

    void answer(const probe_server& wanted, cost& counted)
    {
        ++counted.probes;
        probe_finished finished { wanted.server, true, {}, {} };
        if (wanted.kind == probe_kind::health)
            finished.health = reported_health::live;
        else
            finished.load = reported_load { 0, 0, 4, "boot-1" };
        deliver(finished);
    }

    void answer(const fetch_value& wanted, cost& counted)
    {
        ++(wanted.source == state::value_source::platform ? counted.platformReads : counted.peerReads);
        value_received received;
        received.key = wanted.key;
        received.source = wanted.source;
        received.fromAddress = wanted.address;
        received.requestedAt = m_now;
        if (wanted.after == 0) {
            received.number = 1;
            received.body = wanted.key;
        }
        deliver(received);
    }

    /// Returns each datagram to the node as if the addressed peer had sent it.
    void answer(const send_peer_message& wanted, cost& counted)
    {
        const auto bytes = protocol::encodeDatagram(wanted.message);
        if (!bytes.ok())
            return;
        ++counted.datagramsSent;
        counted.bytesSent += static_cast<double>(bytes->size() + datagramHeaderBytes);
        for (std::size_t host = 1; host < m_size.entryHosts; ++host) {
            if (peerAddress(host) != wanted.address)
                continue;
            auto decoded = protocol::decodeDatagram(*bytes);
            decoded->sender = fmt::format("entry-{:04}", host);
            decoded->queryId = 0;
            counted.bytesReceived += static_cast<double>(bytes->size() + datagramHeaderBytes);
            deliver(peer_message_received { wanted.address, *std::move(decoded) });
        }
    }

    fleet_size m_size;
    node m_node;
    state::time_point m_now { std::chrono::seconds { 1 } };
    random_generator m_random { 7 };
};

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

cost measure(const fleet_size& size)
{
    cost counted;
    const double before = heapBytes();
    isolated_node isolated(size);
    isolated.advance(settleTime, counted);
    counted = {};
    counted.memoryBytes = heapBytes() - before;
    const auto started = std::chrono::steady_clock::now();
    isolated.advance(measuredTime, counted);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - started;
    const auto seconds = static_cast<double>(measuredTime.count());
    counted.processorShare = elapsed.count() / seconds;
    for (auto* rate : { &counted.datagramsSent, &counted.bytesSent, &counted.bytesReceived, &counted.platformReads,
             &counted.peerReads, &counted.probes })
        *rate /= seconds;
    return counted;
}

} // namespace
} // namespace acaciaslip::coordination

int main(int argc, char** argv)
{
    using namespace acaciaslip::coordination;
    const bool csv = argc > 1 && std::string_view(argv[1]) == "--csv";
    if (csv)
        fmt::print("servers,services,entry_hosts,memory_kib,processor_percent,datagrams_per_s,sent_bytes_per_s,"
                   "received_bytes_per_s,platform_reads_per_s,peer_reads_per_s,probes_per_s\n");
    for (const auto& size : sizes) {
        const auto counted = measure(size);
        const auto format = csv
            ? "{},{},{},{:.0f},{:.3f},{:.1f},{:.0f},{:.0f},{:.2f},{:.2f},{:.1f}\n"
            : "servers {:>5} services {:>3} entry hosts {:>3}  memory {:>6.0f} KiB  processor {:.3f} %  "
              "datagrams/s {:>6.1f}  sent B/s {:>6.0f}  received B/s {:>6.0f}  platform reads/s {:.2f}  "
              "peer reads/s {:.2f}  probes/s {:.1f}\n";
        fmt::print(fmt::runtime(format), size.servers, size.services, size.entryHosts, counted.memoryBytes / 1024,
            counted.processorShare * 100, counted.datagramsSent, counted.bytesSent, counted.bytesReceived,
            counted.platformReads, counted.peerReads, counted.probes);
    }
    return 0;
}
