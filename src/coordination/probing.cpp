#include "coordination/probing.hpp"

#include "coordination/node.hpp"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace acaciaslip::coordination {

namespace {

constexpr state::duration answerMeasures = std::chrono::seconds { 1 }; ///< how long an answer stands for a probe
constexpr state::duration probeTimeout = std::chrono::seconds { 5 };
constexpr std::uint32_t jitterParts = 1024;
constexpr int jitterShare = 10; ///< up to a tenth is added to each interval
constexpr std::size_t hostsWhenUnlisted = 16; ///< share the budget with this many when no entry host is listed

std::uint64_t weigh(const state::host_id& server, const state::host_id& host)
{
    return XXH3_64bits_withSeed(host.data(), host.size(), XXH3_64bits(server.data(), server.size()));
}

/// How many listed hosts go before ours for a server, or nothing when ours is not listed.
std::optional<std::size_t> rankAmongListed(const node& self, const state::server_record& server)
{
    const auto own = weigh(server.id, self.settings.id);
    bool listed = false;
    std::size_t rank = 0;
    for (const auto& host : self.fleet.entryHosts) {
        listed = listed || host == self.settings.id;
        rank += weigh(server.id, host) > own ? 1 : 0;
    }
    return listed ? std::optional { rank } : std::nullopt;
}

state::duration seconds(double count)
{
    return std::chrono::duration_cast<state::duration>(std::chrono::duration<double> { std::ceil(count * 1e9) / 1e9 });
}

state::duration intervalFor(const node& self, const state::server_record& server)
{
    const auto budget = self.fleet.services[server.service].settings.probesPerSecond;
    const bool isRead = server.listing == state::host_listing::live && !server.dataCentreOut;
    if (budget <= 0 || !isRead)
        return {};
    if (self.fleet.entryHosts.empty())
        return seconds(static_cast<double>(hostsWhenUnlisted) / budget);
    const auto readers = std::max<std::size_t>(1, static_cast<std::size_t>(budget));
    const auto hosts = std::min(readers, self.fleet.entryHosts.size());
    const auto rank = rankAmongListed(self, server);
    if (!rank || *rank >= hosts)
        return {};
    return seconds(std::max(1.0, static_cast<double>(readers) / budget));
}

state::duration jitter(state::duration interval, random_generator& random)
{
    return interval / jitterShare * random(jitterParts) / jitterParts;
}

void countAllowed(state::probe_duty& probes, state::time_point now)
{
    if (probes.interval > state::duration::zero())
        probes.allowed += std::chrono::duration<double>(now - probes.allowedAt) / probes.interval;
    probes.allowedAt = now;
}

bool isMeasuredByTraffic(const state::server_record& server, state::time_point now)
{
    return server.condition == state::server_condition::warm && server.lastAnswerAt
        && now - *server.lastAnswerAt < answerMeasures && !(server.report && server.report->saysDraining);
}

} // namespace

void assignProbes(node& self, state::time_point now)
{
    for (auto& server : self.fleet.servers) {
        const auto interval = intervalFor(self, server);
        auto& probes = server.probes;
        countAllowed(probes, now);
        if (probes.interval == state::duration::zero() && interval > state::duration::zero())
            probes.dueAt = now + std::max(probeHandover, interval);
        else if (interval > probes.interval)
            probes.dueAt = std::max(probes.dueAt, probes.startedAt + interval);
        probes.interval = interval;
    }
}

void probeIfDue(
    node& self, state::server_record& server, state::time_point now, random_generator& random, effect_list& effects)
{
    auto& probes = server.probes;
    if (probes.interval == state::duration::zero() || now < probes.dueAt)
        return;
    if (probes.running && now - probes.startedAt < probeTimeout)
        return;
    countAllowed(probes, now);
    const auto wait = isMeasuredByTraffic(server, now) ? probes.interval * 2 : probes.interval;
    probes.dueAt = now + wait + jitter(probes.interval, random);
    probes.startedAt = now;
    probes.running = true;
    const auto kind = server.probesSpent++ % 2 == 0 ? probe_kind::health : probe_kind::load;
    ++self.counters.probes;
    effects.emplace_back(probe_server { server.id, server.address, kind });
}

} // namespace acaciaslip::coordination
