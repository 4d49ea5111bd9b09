#include "protocol/dump.hpp"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

namespace acaciaslip::protocol {
namespace {

constexpr int peers = 16;

coordination::node makeLargeNode(std::int64_t servers)
{
    auto node = coordination::makeNode({}, 1, {});
    node.fleet.services.resize(53);
    node.fleet.servers.resize(static_cast<std::size_t>(servers));
    for (std::size_t index = 0; index < node.fleet.servers.size(); ++index) {
        auto& server = node.fleet.servers[index];
        server.id = fmt::format("server-{}", index);
        server.service = static_cast<state::service_index>(index % node.fleet.services.size());
        for (int peer = 0; peer < peers; ++peer)
            server.load.peers[fmt::format("entry-{}", peer)].inFlight = 1;
    }
    for (int peer = 0; peer < peers; ++peer)
        node.peers[fmt::format("entry-{}", peer)].id = fmt::format("entry-{}", peer);
    return node;
}

/// Measures how long one part of a copy blocks the event loop.
void copyOnePart(benchmark::State& state)
{
    const auto node = makeLargeNode(state.range(0));
    for (auto _ : state) {
        node_snapshot snapshot;
        snapshot.services.resize(node.fleet.services.size());
        benchmark::DoNotOptimize(copyServers(node, {}, snapshot));
    }
}
BENCHMARK(copyOnePart)->Arg(34)->Arg(1400)->Unit(benchmark::kMicrosecond);

void copyOverviewOnly(benchmark::State& state)
{
    const auto node = makeLargeNode(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(copyOverview(node, {}));
}
BENCHMARK(copyOverviewOnly)->Arg(34)->Arg(1400)->Unit(benchmark::kMicrosecond);

/// Measures the total cost of a dump: the complete copy and its formatting.
void writeWholeDump(benchmark::State& state)
{
    const auto node = makeLargeNode(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(nodeToJson(node, {}).dump(2));
}
BENCHMARK(writeWholeDump)->Arg(34)->Arg(1400)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace acaciaslip::protocol
