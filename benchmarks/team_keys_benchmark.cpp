/// Measures what a key adds to a request, by number of keys, and what the index costs for each configuration.

#include "coordination/gateway/team_keys.hpp"
#include "protocol/server_http_messages.hpp"

#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <pcg_random.hpp>

namespace acaciaslip::coordination::gateway {
namespace {

constexpr std::int64_t keysPerTeam = 10;
constexpr std::int64_t fewKeys = 100;
constexpr std::int64_t manyKeys = 10000;
constexpr std::uint64_t seed = 7;

std::string makeKey(std::int64_t number)
{
    return fmt::format("key-{:032x}", static_cast<std::uint64_t>(number) * 0x9e3779b97f4a7c15);
}

std::shared_ptr<const state::gateway::configuration> makeConfiguration(std::int64_t keys)
{
    auto config = std::make_shared<state::gateway::configuration>();
    for (std::int64_t number = 0; number < keys; ++number) {
        if (number % keysPerTeam == 0)
            config->teams.emplace_back().name = fmt::format("team-{}", number / keysPerTeam);
        config->teams.back().keys.push_back(makeKey(number));
    }
    return config;
}

protocol::http::message makeRequest(std::string key)
{
    protocol::http::message request;
    request.method = "GET";
    request.target = "/a/b?c=d";
    for (int header = 0; header < 10; ++header) // NOLINT: typical number of headers
        request.headers.push_back({ fmt::format("X-Header-{}", header), "value" });
    request.headers.push_back({ "acaciaslip-key", std::move(key) });
    return request;
}

/// Everything that a key adds: reading it from the headers, and finding its team.
void findTeamOfRequest(benchmark::State& run)
{
    const auto index = indexKeys(makeConfiguration(run.range(0)));
    const protocol::server_http_format format;
    pcg32 random { seed };
    std::vector<protocol::http::message> requests;
    for (std::int64_t number = 0; number < run.range(0); ++number)
        requests.push_back(makeRequest(makeKey(random(static_cast<std::uint32_t>(run.range(0))))));
    std::size_t next = 0;
    for (auto step : run) {
        (void)step;
        const auto key = protocol::readTeamKey(format, requests[next++ % requests.size()]);
        benchmark::DoNotOptimize(findTeam(index, key.value_or("")));
    }
}
BENCHMARK(findTeamOfRequest)->Arg(fewKeys)->Arg(manyKeys)->ArgName("keys");

void findUnknownKey(benchmark::State& run)
{
    const auto index = indexKeys(makeConfiguration(run.range(0)));
    const auto unknown = makeKey(-1);
    for (auto step : run) {
        (void)step;
        benchmark::DoNotOptimize(findTeam(index, unknown));
    }
}
BENCHMARK(findUnknownKey)->Arg(fewKeys)->Arg(manyKeys)->ArgName("keys");

void buildIndex(benchmark::State& run)
{
    const auto config = makeConfiguration(run.range(0));
    for (auto step : run) {
        (void)step;
        benchmark::DoNotOptimize(indexKeys(config));
    }
}
BENCHMARK(buildIndex)->Arg(fewKeys)->Arg(manyKeys)->ArgName("keys");

} // namespace
} // namespace acaciaslip::coordination::gateway
