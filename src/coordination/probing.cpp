#include "coordination/probing.hpp"

#include "coordination/node.hpp"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace acaciaslip::coordination {

namespace {

constexpr state::duration responseFreshness = std::chrono::seconds { 1 }; ///< how long a response replaces a probe
constexpr state::duration probeTimeout = std::chrono::seconds { 5 };
constexpr std::uint32_t jitterSteps = 1024;
constexpr int jitterDivisor = 10; ///< up to a tenth of the interval is added as jitter
constexpr std::size_t assumedEntryHosts = 16; ///< number of entry hosts assumed to share the budget when none is listed

std::uint64_t rendezvousWeight(const state::host_id& server, const state::host_id& host)
{
    return XXH3_64bits_withSeed(host.data(), host.size(), XXH3_64bits(server.data(), server.size()));
}

/// Number of listed entry hosts that rank above this one for a server, or nothing when this host is not listed.
std::optional<std::size_t> rankAmongListed(const node& self, const state::server_record& server)
{
    const auto own = rendezvousWeight(server.id, self.settings.id);
    bool listed = false;
    std::size_t rank = 0;
    for (const auto& host : self.fleet.entryHosts) {
        listed = listed || host == self.settings.id;
        rank += rendezvousWeight(server.id, host) > own ? 1 : 0;
    }
    return listed ? std::optional { rank } : std::nullopt;
}

state::duration roundUpSeconds(double count)
{
    return std::chrono::duration_cast<state::duration>(std::chrono::duration<double> { std::ceil(count * 1e9) / 1e9 });
}

state::duration probeInterval(const node& self, const state::server_record& server)
{
    const auto budget = self.fleet.services[server.service].settings.probesPerSecond;
    const bool isProbed = server.listing == state::host_listing::live && !server.dataCentreEvacuated;
    if (budget <= 0 || !isProbed)
        return {};
    if (self.fleet.entryHosts.empty())
        return roundUpSeconds(static_cast<double>(assumedEntryHosts) / budget);
    const auto probers = std::max<std::size_t>(1, static_cast<std::size_t>(budget));
    const auto hosts = std::min(probers, self.fleet.entryHosts.size());
    const auto rank = rankAmongListed(self, server);
    if (!rank || *rank >= hosts)
        return {};
    return roundUpSeconds(std::max(1.0, static_cast<double>(probers) / budget));
}

state::duration jitter(state::duration interval, random_generator& random)
{
    return interval / jitterDivisor * random(jitterSteps) / jitterSteps;
}

void updateBudgetedProbes(state::probe_schedule& probes, state::time_point now)
{
    if (probes.interval > state::duration::zero())
        probes.budgeted += std::chrono::duration<double>(now - probes.budgetedUntil) / probes.interval;
    probes.budgetedUntil = now;
}

bool isMeasuredByTraffic(const state::server_record& server, state::time_point now)
{
    return server.condition == state::server_condition::warm && server.lastResponseAt
        && now - *server.lastResponseAt < responseFreshness && !(server.report && server.report->reportsDraining);
}

} // namespace

void assignProbes(node& self, state::time_point now)
{
    for (auto& server : self.fleet.servers) {
        const auto interval = probeInterval(self, server);
        auto& probes = server.probing;
        updateBudgetedProbes(probes, now);
        if (probes.interval == state::duration::zero() && interval > state::duration::zero())
            probes.dueAt = now + std::max(probeHandoverDelay, interval);
        else if (interval > probes.interval)
            probes.dueAt = std::max(probes.dueAt, probes.startedAt + interval);
        probes.interval = interval;
    }
}

void probeIfDue(
    node& self, state::server_record& server, state::time_point now, random_generator& random, effect_list& effects)
{
    auto& probes = server.probing;
    if (probes.interval == state::duration::zero() || now < probes.dueAt)
        return;
    if (probes.inFlight && now - probes.startedAt < probeTimeout)
        return;
    updateBudgetedProbes(probes, now);
    const auto wait = isMeasuredByTraffic(server, now) ? probes.interval * 2 : probes.interval;
    probes.dueAt = now + wait + jitter(probes.interval, random);
    probes.startedAt = now;
    probes.inFlight = true;
    const auto kind = server.probesSpent++ % 2 == 0 ? probe_kind::health : probe_kind::load;
    ++self.counters.probes;
    effects.emplace_back(probe_server { server.id, server.address, kind });
}

} // namespace acaciaslip::coordination
