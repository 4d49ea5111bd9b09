#include "protocol/fleet_settings_reader.hpp"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

namespace acaciaslip::protocol {
namespace {

constexpr int serversPerService = 26;

std::map<state::value_key, std::string> makeBodies(int servers)
{
    std::map<state::value_key, std::string> bodies;
    bodies["acaciaslip/templates"] = "lookup:\n  parameters: [name, path]\n"
                                     "  service: {name: $name, path_prefix: $path, slots: 4, hedge: on}\n";
    std::string hosts;
    std::string team = "team: kierdicht\nservices:\n";
    for (int index = 0; index < servers; ++index) {
        hosts += fmt::format("- {{id: server-{}, address: '10.0.{}.{}:8080', data_centre: dc-{}, kind: server, "
                             "team: kierdicht, service: s{}, state: live}}\n",
            index, index / 250, index % 250, index % 11, index / serversPerService);
        if (index % serversPerService == 0)
            team += fmt::format("  - {{use: lookup, with: {{name: s{0}, path: /s{0}}}}}\n", index / serversPerService);
    }
    bodies["acaciaslip/hosts"] = std::move(hosts);
    bodies["acaciaslip/teams/kierdicht"] = std::move(team);
    return bodies;
}

void readAll(benchmark::State& state)
{
    const auto bodies = makeBodies(static_cast<int>(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(readFleetSettings(bodies));
}
BENCHMARK(readAll)->Arg(34)->Arg(1400)->Unit(benchmark::kMillisecond);

void readWithAllPrepared(benchmark::State& state)
{
    const auto bodies = makeBodies(static_cast<int>(state.range(0)));
    fleet_settings_cache cache;
    for (const auto& [key, body] : bodies)
        cache.parseAhead(key, body);
    for (auto _ : state)
        benchmark::DoNotOptimize(cache.read(bodies));
}
BENCHMARK(readWithAllPrepared)->Arg(34)->Arg(1400)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace acaciaslip::protocol
