/// Compares picking strategies on one arrival trace: the load balancer's own, simpler ones, and an ideal central queue
/// with complete knowledge of the servers.
///
/// Runs the actual tables and picks of sixteen nodes against simulated servers in virtual time. Usage:
/// picking_comparison [--csv]

#include "coordination/fleet_update.hpp"
#include "coordination/load_estimate.hpp"
#include "coordination/node.hpp"
#include "coordination/picking.hpp"
#include "coordination/server_tracking.hpp"
#include "coordination/slot_assignment.hpp"
#include "quantile.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>
#include <xxhash.h>

namespace acaciaslip::coordination {
namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::uint32_t nodeCount = 16;
constexpr std::uint32_t serverCount = 10;
constexpr std::uint32_t dataCentreCount = 3;
constexpr double sameDataCentreMs = 0.25; ///< one-way network delay
constexpr double otherDataCentreMs = 1.5; ///< one-way network delay
constexpr double peerIntervalMs = 50;
constexpr double tickMs = 10;
constexpr double warmUpMs = 2000;
constexpr double lengthMs = 22000;
constexpr double fixedServiceMs = 4;
constexpr double extraServiceMs = 1; ///< mean of the exponentially distributed part
constexpr double burstShare = 0.02; ///< share of arrivals that are bursts
constexpr int burstSize = 20;
constexpr double slowFactor = 4;
constexpr std::uint32_t disturbedServer = 0; ///< the slow server, or the one for which nodes report wrong counts

/// The fault or load pattern applied during a measurement.
enum class disturbance { none, bursts, slow_server, false_counts, silent_peers, shedding_servers };

constexpr std::array<state::enum_name<disturbance>, 6> disturbanceNames { {
    { disturbance::none, "steady" },
    { disturbance::bursts, "bursts" },
    { disturbance::slow_server, "slow_server" },
    { disturbance::false_counts, "false_counts" },
    { disturbance::silent_peers, "silent_peers" },
    { disturbance::shedding_servers, "shedding_servers" },
} };

/// Picks a server for a request of a node. Without a result, the request waits at the node.
using picker = std::function<std::optional<state::server_index>(
    const node&, const state::request&, state::time_point, random_generator&)>;

struct strategy {
    std::string name;
    picker pick; ///< empty for the ideal central queue
};

struct experiment {
    std::uint32_t slots = 4;
    double load = 0.7; ///< as a share of the capacity of all servers
    disturbance disturbed = disturbance::none;
};

struct outcome {
    std::vector<double> milliseconds;
    std::uint64_t shed = 0;
    std::uint64_t requests = 0;
};

/// A simulated server: the number of busy slots and the queue for them.
struct fake_server {
    std::uint32_t busy = 0;
    std::deque<std::size_t> queue;
};

struct fake_request {
    std::uint32_t node = 0;
    double arrivedMs = 0;
    state::request asked;
    state::server_index server = 0;
    state::time_point sentAt;
};

enum class step { arrive, reach_server, finish, answer, shed, send_peer_loads, tick, reach_queue };

struct scheduled {
    double atMs = 0;
    step what = step::arrive;
    std::size_t subject = 0;
    bool operator<(const scheduled& other) const { return atMs > other.atMs; }
};

state::time_point instant(double ms)
{
    return state::time_point { std::chrono::seconds { 1 } }
    + std::chrono::duration_cast<state::duration>(milliseconds { ms });
}

state::fleet_settings makeSettings(std::uint32_t slots)
{
    state::fleet_settings settings;
    auto& service = settings.services.emplace_back();
    service.name = { "kierdicht", "routes" };
    service.slots = slots;
    for (std::uint32_t number = 0; number < nodeCount + serverCount; ++number) {
        state::host_record host;
        const bool entry = number < nodeCount;
        host.id = fmt::format("{}-{}", entry ? "entry" : "routes", entry ? number : number - nodeCount);
        host.kind = entry ? state::host_kind::entry : state::host_kind::server;
        host.dataCentre = fmt::format("dc-{}", (entry ? number : number - nodeCount) % dataCentreCount);
        host.service = service.name;
        settings.hosts.push_back(host);
    }
    return settings;
}

/// One run of one strategy in one experiment.
class run {
public:
    run(const experiment& tried, const strategy& chosen)
        : m_tried(tried)
        , m_strategy(chosen)
        , m_servers(serverCount)
    {
        const auto settings = makeSettings(tried.slots);
        for (std::uint32_t number = 0; number < nodeCount; ++number) {
            state::node_settings own;
            own.id = settings.hosts[number].id;
            own.dataCentre = settings.hosts[number].dataCentre;
            auto& made = m_nodes.emplace_back(makeNode(own, 1, {}));
            applySettings(made, settings, instant(0));
            assignSlots(made, settings);
            made.serverTags = makeServerTags(made.fleet);
            for (auto& server : made.fleet.servers)
                server.condition = state::server_condition::warm;
        }
        m_waiting.resize(nodeCount);
    }

    outcome measure()
    {
        schedule(0, step::arrive, 0);
        for (std::uint32_t number = 0; number < nodeCount; ++number) {
            schedule(number * peerIntervalMs / nodeCount, step::send_peer_loads, number);
            schedule(number * tickMs / nodeCount, step::tick, number);
        }
        while (m_schedule.top().atMs < lengthMs) {
            const auto next = m_schedule.top();
            m_schedule.pop();
            m_nowMs = next.atMs;
            take(next);
        }
        return std::move(m_outcome);
    }

private:
    void schedule(double atMs, step what, std::size_t subject) { m_schedule.push({ atMs, what, subject }); }

    double chance() { return (static_cast<double>(m_trace()) + 1) / 4294967297.0; }

    double drawServiceMs(state::server_index server)
    {
        const double drawn = fixedServiceMs - extraServiceMs * std::log(chance());
        return m_tried.disturbed == disturbance::slow_server && server == disturbedServer ? drawn * slowFactor : drawn;
    }

    double transitMs(std::uint32_t nodeNumber, state::server_index server) const
    {
        return nodeNumber % dataCentreCount == server % dataCentreCount ? sameDataCentreMs : otherDataCentreMs;
    }

    void take(const scheduled& next)
    {
        switch (next.what) {
        case step::arrive:
            return arrive();
        case step::reach_server:
            return reachServer(next.subject);
        case step::finish:
            return finish(next.subject);
        case step::answer:
        case step::shed:
            return answer(next.subject, next.what == step::shed);
        case step::send_peer_loads:
            return sendPeerLoads(next.subject);
        case step::tick:
            sendWaiting(static_cast<std::uint32_t>(next.subject));
            return schedule(m_nowMs + tickMs, step::tick, next.subject);
        case step::reach_queue:
            return reachQueue(next.subject);
        }
    }

    void arrive()
    {
        const bool bursts = m_tried.disturbed == disturbance::bursts;
        const int count = bursts && chance() < burstShare ? burstSize : 1;
        for (int number = 0; number < count; ++number) {
            const auto id = m_requests.size();
            auto& request = m_requests.emplace_back();
            request.node = m_trace(nodeCount);
            request.arrivedMs = m_nowMs;
            request.asked.idempotencyKey = fmt::format("key-{}", id);
            if (!m_strategy.pick)
                schedule(m_nowMs + sameDataCentreMs, step::reach_queue, id);
            else if (!send(id))
                m_waiting[request.node].push_back(id);
        }
        double perMs = m_tried.load * serverCount * m_tried.slots / (fixedServiceMs + extraServiceMs);
        if (bursts)
            perMs /= 1 + burstShare * (burstSize - 1);
        schedule(m_nowMs - std::log(chance()) / perMs, step::arrive, 0);
    }

    bool send(std::size_t id)
    {
        auto& request = m_requests[id];
        auto& sender = m_nodes[request.node];
        const auto picked = m_strategy.pick(sender, request.asked, instant(m_nowMs), m_picks);
        if (!picked)
            return false;
        request.server = *picked;
        request.sentAt = instant(m_nowMs);
        recordAttemptStarted(sender, *picked, request.sentAt);
        schedule(m_nowMs + transitMs(request.node, *picked), step::reach_server, id);
        return true;
    }

    void begin(std::size_t id, state::server_index server)
    {
        m_requests[id].server = server;
        schedule(m_nowMs + drawServiceMs(server), step::finish, id);
    }

    void reachServer(std::size_t id)
    {
        const auto& request = m_requests[id];
        auto& server = m_servers[request.server];
        if (server.busy < m_tried.slots) {
            ++server.busy;
            begin(id, request.server);
        } else if (m_tried.disturbed == disturbance::shedding_servers) {
            ++m_outcome.shed;
            schedule(m_nowMs + transitMs(request.node, request.server), step::shed, id);
        } else {
            server.queue.push_back(id);
        }
    }

    void reachQueue(std::size_t id)
    {
        for (std::uint32_t offset = 0; offset < serverCount; ++offset) {
            const auto server = static_cast<state::server_index>((id + offset) % serverCount);
            if (m_servers[server].busy < m_tried.slots) {
                ++m_servers[server].busy;
                return begin(id, server);
            }
        }
        m_queue.push_back(id);
    }

    void finish(std::size_t id)
    {
        const auto index = m_requests[id].server;
        auto& server = m_servers[index];
        auto& queue = m_strategy.pick ? server.queue : m_queue;
        if (queue.empty()) {
            --server.busy;
        } else {
            begin(queue.front(), index);
            queue.pop_front();
        }
        const double back = m_strategy.pick ? transitMs(m_requests[id].node, index) : sameDataCentreMs;
        schedule(m_nowMs + back, step::answer, id);
    }

    void answer(std::size_t id, bool shed)
    {
        auto& request = m_requests[id];
        if (m_strategy.pick) {
            const auto result = shed ? state::attempt_outcome::shed : state::attempt_outcome::answered;
            effect_list effects;
            recordAttemptFinished(m_nodes[request.node], request.server, { {}, result, 0, {} }, request.sentAt,
                instant(m_nowMs), effects);
        }
        if (shed) {
            request.asked.excludedServers.push_back(request.server);
            if (request.asked.excludedServers.size() + 2 > serverCount)
                request.asked.excludedServers.clear();
            if (!send(id))
                m_waiting[request.node].push_front(id);
        } else {
            record(request);
        }
        if (m_strategy.pick)
            sendWaiting(request.node);
    }

    void record(const fake_request& request)
    {
        if (request.arrivedMs < warmUpMs)
            return;
        ++m_outcome.requests;
        m_outcome.milliseconds.push_back(m_nowMs - request.arrivedMs);
    }

    void sendWaiting(std::uint32_t number)
    {
        auto& waiting = m_waiting[number];
        while (!waiting.empty() && send(waiting.front()))
            waiting.pop_front();
    }

    void sendPeerLoads(std::size_t from)
    {
        schedule(m_nowMs + peerIntervalMs, step::send_peer_loads, from);
        if (m_tried.disturbed == disturbance::silent_peers)
            return;
        state::peer_message message;
        message.sender = m_nodes[from].settings.id;
        for (const auto& server : m_nodes[from].fleet.servers) {
            const bool counted = m_tried.disturbed == disturbance::false_counts && server.id == "routes-0";
            message.loads.emplace_back();
            message.loads.back().server = tagOf(server.id);
            message.loads.back().inFlight = counted ? 0 : server.ownInFlight;
        }
        for (std::size_t to = 0; to < nodeCount; ++to) {
            if (to != from)
                applyPeerLoads(m_nodes[to], message, instant(m_nowMs));
        }
    }

    experiment m_tried;
    const strategy& m_strategy;
    random_generator m_trace { 7 };
    random_generator m_picks { 11 };
    double m_nowMs = 0;
    std::vector<node> m_nodes;
    std::vector<fake_server> m_servers;
    std::vector<std::deque<std::size_t>> m_waiting;
    std::deque<std::size_t> m_queue; ///< the ideal central queue
    std::deque<fake_request> m_requests;
    std::priority_queue<scheduled> m_schedule;
    outcome m_outcome;
};

bool isTried(const state::request& request, state::server_index index)
{
    return std::find(request.excludedServers.begin(), request.excludedServers.end(), index)
        != request.excludedServers.end();
}

/// Returns the candidate with the lowest measure. Ties are broken at random.
std::optional<state::server_index> pickLeast(const node& self, const state::request& request, random_generator& random,
    const std::function<double(const state::server_record&)>& measure)
{
    std::optional<state::server_index> best;
    double least = 0;
    for (const auto index : self.fleet.services[0].members) {
        const double found = measure(self.fleet.servers[index]) + 1e-6 * static_cast<double>(random(1000));
        if (!isTried(request, index) && (!best || found < least)) {
            best = index;
            least = found;
        }
    }
    return best;
}

/// Returns the server's in-flight requests as the sum of the counts last received from all nodes.
double lastCounts(const state::server_record& server)
{
    double sum = server.ownInFlight;
    for (const auto& [peer, known] : server.load.peers)
        sum += known.inFlight;
    return sum;
}

std::optional<state::server_index> pickRandom(
    const node& self, const state::request& request, state::time_point /*now*/, random_generator& random)
{
    return pickLeast(self, request, random, [](const state::server_record&) { return 0.0; });
}

picker makeRoundRobin()
{
    auto turns = std::make_shared<std::map<state::host_id, std::uint32_t>>();
    return [turns](const node& self, const state::request& request, state::time_point,
               random_generator& random) -> std::optional<state::server_index> {
        auto& turn = turns->try_emplace(self.settings.id, random(serverCount)).first->second;
        do
            turn = (turn + 1) % serverCount;
        while (isTried(request, turn));
        return turn;
    };
}

std::optional<state::server_index> pickTwoChoices(
    const node& self, const state::request& request, state::time_point now, random_generator& random)
{
    const auto first = pickRandom(self, request, now, random);
    const auto second = pickRandom(self, request, now, random);
    return lastCounts(self.fleet.servers[*second]) < lastCounts(self.fleet.servers[*first]) ? second : first;
}

/// Sends equal keys to the same server while it has a free slot, so that the server's own deduplication applies.
std::optional<state::server_index> pickByKey(
    const node& self, const state::request& request, state::time_point /*now*/, random_generator& random)
{
    return pickLeast(self, request, random, [&](const state::server_record& server) {
        const auto weight = XXH3_64bits_withSeed(request.idempotencyKey.data(), request.idempotencyKey.size(),
            XXH3_64bits(server.id.data(), server.id.size()));
        const bool full = estimateInFlight(server.load) >= self.fleet.services[0].settings.slots;
        return (full ? 2.0 : 0.0) + static_cast<double>(weight >> 11U) * 0x1p-53;
    });
}

std::vector<strategy> makeStrategies()
{
    return {
        { "all_knowing_queue", {} },
        { "random", pickRandom },
        { "round_robin", makeRoundRobin() },
        { "least_own",
            [](const node& self, const state::request& request, state::time_point, random_generator& random) {
                return pickLeast(self, request, random, [](const auto& server) { return server.ownInFlight; });
            } },
        { "two_choices_last_counts", pickTwoChoices },
        { "least_last_counts",
            [](const node& self, const state::request& request, state::time_point, random_generator& random) {
                return pickLeast(self, request, random, lastCounts);
            } },
        { "least_average_counts",
            [](const node& self, const state::request& request, state::time_point, random_generator& random) {
                return pickLeast(
                    self, request, random, [](const auto& server) { return estimateInFlight(server.load); });
            } },
        { "key_rendezvous", pickByKey },
        { "acaciaslip", pickServer },
    };
}

void print(const experiment& tried, const strategy& chosen, outcome& measured, double best99, bool csv)
{
    const double p50 = quantile(measured.milliseconds, 0.5);
    const double p99 = quantile(measured.milliseconds, 0.99);
    const double p999 = quantile(measured.milliseconds, 0.999);
    const auto format = csv
        ? "{},{},{},{},{:.3f},{:.3f},{:.3f},{:.2f},{},{}\n"
        : "{:<17} {} slots {:.2f}  {:<24} p50 {:7.2f}  p99 {:8.2f}  p99.9 {:8.2f}  x{:<6.2f} shed {:>6}  n {}\n";
    fmt::print(fmt::runtime(format), state::findName(disturbanceNames, tried.disturbed), tried.slots, tried.load,
        chosen.name, p50, p99, p999, p99 / best99, measured.shed, measured.requests);
}

void compare(const experiment& tried, bool csv)
{
    double best99 = 0;
    for (const auto& chosen : makeStrategies()) {
        auto measured = run(tried, chosen).measure();
        if (best99 == 0)
            best99 = quantile(measured.milliseconds, 0.99);
        print(tried, chosen, measured, best99, csv);
    }
}

} // namespace
} // namespace acaciaslip::coordination

int main(int argc, char** argv)
{
    using namespace acaciaslip::coordination;
    const bool csv = argc > 1 && std::string_view(argv[1]) == "--csv";
    if (csv)
        fmt::print("case,slots,load,way,p50_ms,p99_ms,p999_ms,p99_over_all_knowing,shed,requests\n");
    for (const auto& row : disturbanceNames) {
        for (const std::uint32_t slots : { 4U, 2U }) {
            for (const double load : { 0.5, 0.7, 0.85 })
                compare({ slots, load, row.value }, csv);
        }
    }
    return 0;
}
