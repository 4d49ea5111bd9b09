/// Measures the CPU cost of decisions by fleet size: a single pick, and the complete handling of a request.

#include "coordination/fleet_update.hpp"
#include "coordination/load_estimate.hpp"
#include "coordination/node.hpp"
#include "coordination/picking.hpp"
#include "coordination/slot_assignment.hpp"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

namespace acaciaslip::coordination {
namespace {

constexpr std::int64_t smallFleet = 34; ///< servers, in 4 services
constexpr std::int64_t largeFleet = 1400; ///< servers, in 53 services
constexpr std::int64_t smallServices = 4;
constexpr std::int64_t largeServices = 53;
constexpr int dataCentres = 11;
constexpr int entryHosts = 16;

state::fleet_settings makeSettings(std::int64_t servers, std::int64_t services)
{
    state::fleet_settings settings;
    for (std::int64_t number = 0; number < services; ++number) {
        auto& service = settings.services.emplace_back();
        service.name = { "team", fmt::format("service-{}", number) };
        service.pathPrefix = fmt::format("/service-{}", number);
    }
    for (std::int64_t number = 0; number < servers + entryHosts; ++number) {
        state::host_record host;
        const bool entry = number >= servers;
        host.id = fmt::format("{}-{}", entry ? "entry" : "server", number);
        host.address = "127.0.0.1:1";
        host.kind = entry ? state::host_kind::entry : state::host_kind::server;
        host.dataCentre = fmt::format("dc-{}", number % dataCentres);
        host.service = settings.services[static_cast<std::size_t>(number % services)].name;
        settings.hosts.push_back(host);
    }
    return settings;
}

/// Returns a node in the serving phase with all servers warm.
node makeServingNode(const state::fleet_settings& settings, state::time_point now)
{
    state::node_settings own;
    own.id = fmt::format("entry-{}", settings.hosts.size() - 1);
    auto made = makeNode(own, 1, {});
    made.phase = node_phase::serving;
    applySettings(made, settings, now);
    assignSlots(made, settings);
    for (auto& server : made.fleet.servers) {
        server.condition = state::server_condition::warm;
        updateLatencyAverage(server.load, std::chrono::milliseconds { 5 }, now);
    }
    return made;
}

void pick(benchmark::State& run)
{
    const state::time_point now { std::chrono::seconds { 1 } };
    const auto self = makeServingNode(makeSettings(run.range(0), run.range(1)), now);
    random_generator random { 7 };
    state::request request;
    for (auto step : run) {
        (void)step;
        request.service = random(static_cast<std::uint32_t>(run.range(1)));
        benchmark::DoNotOptimize(pickServer(self, request, now, random));
    }
}
BENCHMARK(pick)
    ->Args({ smallFleet, smallServices })
    ->Args({ largeFleet, largeServices })
    ->ArgNames({ "servers", "services" });

/// Handles one request: its arrival, the answer of its attempt, and all decisions in between.
void request(benchmark::State& run)
{
    state::time_point now { std::chrono::seconds { 1 } };
    auto self = makeServingNode(makeSettings(run.range(0), run.range(1)), now);
    random_generator random { 7 };
    effect_list effects;
    std::uint64_t number = 0;
    for (auto step : run) {
        (void)step;
        now += std::chrono::microseconds { 10 };
        request_arrived arrived;
        arrived.id = state::request_id { ++number };
        arrived.path = fmt::format("/service-{}/a", random(static_cast<std::uint32_t>(run.range(1))));
        arrived.idempotentMethod = true;
        handle(self, arrived, now, random, effects);
        attempt_finished finished;
        for (const auto& wanted : effects) {
            if (const auto* send = std::get_if<send_attempt>(&wanted))
                finished.id = send->id;
        }
        effects.clear();
        now += std::chrono::microseconds { 10 };
        handle(self, finished, now, random, effects);
        effects.clear();
    }
}
BENCHMARK(request)
    ->Args({ smallFleet, smallServices })
    ->Args({ largeFleet, largeServices })
    ->ArgNames({ "servers", "services" });

} // namespace
} // namespace acaciaslip::coordination
