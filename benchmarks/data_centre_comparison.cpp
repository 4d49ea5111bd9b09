/// Measures success and latency in each second while a data centre is taken out of service and restored. Compares the
/// load balancer's nodes with naive nodes that send full load to the restored servers immediately.
///
/// Runs the complete logic of sixteen nodes against simulated servers in virtual time. A restored server is cold: it
/// handles one request at a time, and a second concurrent request makes it fail for one second. Usage:
/// data_centre_comparison [--csv]

#include "coordination/node.hpp"
#include "quantile.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

namespace acaciaslip::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t nodeCount = 16;
constexpr std::size_t serverCount = 10;
constexpr std::size_t dataCentreCount = 3;
constexpr std::uint32_t slots = 4;
constexpr double load = 0.5; ///< as a share of the capacity of all servers
constexpr state::duration serviceTime = milliseconds { 5 };
constexpr state::duration coldServiceTime = milliseconds { 15 };
constexpr std::uint32_t answersToWarm = 20; ///< number of answers after which a simulated server is warm
constexpr state::duration outageTime = seconds { 1 };
constexpr state::duration sameDataCentreDelay = std::chrono::microseconds { 250 }; ///< one-way network delay
constexpr state::duration otherDataCentreDelay = std::chrono::microseconds { 1500 }; ///< one-way network delay
constexpr state::duration tickInterval = milliseconds { 10 };
constexpr seconds outAt { 8 };
constexpr seconds restoredAt { 14 };
constexpr seconds outAgainAt { 17 };
constexpr seconds restoredAgainAt { 20 };
constexpr seconds measuredFrom { 6 };
constexpr seconds endAt { 34 };
constexpr std::string_view outKey = "acaciaslip/data_centres";
constexpr std::string_view movedDataCentre = "dc-0";

std::string dataCentreOf(std::size_t number)
{
    return fmt::format("dc-{}", number % dataCentreCount);
}

state::fleet_settings readSettings(const std::map<state::value_key, std::string>& bodies)
{
    state::fleet_settings settings;
    auto& service = settings.services.emplace_back();
    service.name = { "kierdicht", "routes" };
    service.pathPrefix = "/";
    service.slots = slots;
    service.idempotent = state::idempotency::always;
    const auto out = bodies.find(state::value_key(outKey));
    if (out != bodies.end() && !out->second.empty())
        settings.evacuatedDataCentres.push_back(out->second);
    for (std::size_t number = 0; number < nodeCount + serverCount; ++number) {
        const bool entry = number < nodeCount;
        auto& host = settings.hosts.emplace_back();
        host.id = fmt::format("{}-{}", entry ? "entry" : "routes", entry ? number : number - nodeCount);
        host.address = std::to_string(entry ? number : number - nodeCount);
        host.peerAddress = entry ? host.address : "";
        host.kind = entry ? state::host_kind::entry : state::host_kind::server;
        host.dataCentre = dataCentreOf(entry ? number : number - nodeCount);
        host.service = service.name;
    }
    return settings;
}

struct fake_server {
    std::uint32_t inFlight = 0;
    std::uint32_t answersSinceCold = answersToWarm;
    state::time_point downUntil;
};

struct second_result {
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t mayHaveRun = 0;
    std::uint64_t outages = 0;
    std::uint64_t fromMoved = 0; ///< answers from the data centre that is taken out and restored
    std::vector<double> milliseconds;
};

class run {
public:
    explicit run(bool naive)
        : m_naive(naive)
    {
        for (std::size_t number = 0; number < nodeCount; ++number) {
            state::node_settings own;
            own.id = fmt::format("entry-{}", number);
            own.dataCentre = dataCentreOf(number);
            own.peerAddress = std::to_string(number);
            own.platformAddresses = { "platform" };
            m_nodes.push_back(makeNode(own, 1, [](const auto& bodies) { return readSettings(bodies); }));
            at(tickInterval * static_cast<std::int64_t>(number) / static_cast<std::int64_t>(nodeCount),
                [this, number] { runTick(number); });
        }
        at(seconds { 1 }, [this] { arrive(); });
        at(outAt, [this] { publish(std::string(movedDataCentre)); });
        at(restoredAt, [this] { restore(); });
        at(outAgainAt, [this] { publish(std::string(movedDataCentre)); });
        at(restoredAgainAt, [this] { restore(); });
    }

    std::map<std::int64_t, second_result>& measure()
    {
        while (m_schedule.top().at < m_start + endAt) {
            const auto next = m_schedule.top();
            m_schedule.pop();
            m_now = next.at;
            next.act();
        }
        return m_seconds;
    }

private:
    struct scheduled {
        state::time_point at;
        std::uint64_t order = 0;
        std::function<void()> act;
        bool operator<(const scheduled& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void at(state::duration offset, std::function<void()> act)
    {
        m_schedule.push({ m_start + offset, m_order++, std::move(act) });
    }
    void in(state::duration span, std::function<void()> act)
    {
        m_schedule.push({ m_now + span, m_order++, std::move(act) });
    }
    second_result& second() { return m_seconds[std::chrono::duration_cast<seconds>(m_now - m_start).count()]; }

    void publish(std::string out)
    {
        m_out = std::move(out);
        ++m_revision;
    }

    void restore()
    {
        publish("");
        for (std::size_t number = 0; number < serverCount; ++number) {
            if (dataCentreOf(number) == movedDataCentre)
                m_servers[number].answersSinceCold = 0;
        }
    }

    void runTick(std::size_t number)
    {
        deliver(number, tick {});
        in(tickInterval, [this, number] { runTick(number); });
    }

    void deliver(std::size_t number, const event& delivered)
    {
        auto& self = m_nodes[number];
        effect_list effects;
        handle(self, delivered, m_now, m_random, effects);
        const bool starting = m_now < m_start + seconds { 1 };
        if (m_naive || starting) {
            for (auto& server : self.fleet.servers)
                server.condition = state::server_condition::warm;
        }
        for (auto& wanted : effects)
            std::visit([&](const auto& known) { execute(number, known); }, wanted);
    }

    template <typename Other> void execute(std::size_t /*number*/, const Other& /*wanted*/) { }

    void arrive()
    {
        const auto number = m_trace(nodeCount);
        request_arrived arrived;
        arrived.id = state::request_id { ++m_requests };
        arrived.path = "/today";
        m_arrivals[m_requests] = m_now;
        deliver(number, arrived);
        const double chance = (static_cast<double>(m_trace()) + 1) / 4294967297.0;
        const double mean = static_cast<double>(serviceTime.count()) / (load * serverCount * slots);
        in(state::duration { static_cast<std::int64_t>(-std::log(chance) * mean) }, [this] { arrive(); });
    }

    void execute(std::size_t number, const send_attempt& wanted)
    {
        const auto index = static_cast<std::size_t>(std::stoul(wanted.address));
        const auto transit
            = number % dataCentreCount == index % dataCentreCount ? sameDataCentreDelay : otherDataCentreDelay;
        in(transit, [=, this, id = wanted.id] { reachServer(number, index, id, transit); });
    }

    void reachServer(std::size_t number, std::size_t index, state::attempt_id id, state::duration transit)
    {
        auto& server = m_servers[index];
        const bool cold = server.answersSinceCold < answersToWarm;
        if (cold && server.inFlight >= 1 && m_now >= server.downUntil) {
            server.downUntil = m_now + outageTime;
            server.answersSinceCold = 0;
            ++second().outages;
        }
        if (m_now < server.downUntil)
            return in(transit, [=, this] {
                deliver(number, attempt_finished { id, state::attempt_outcome::shed, 503, {} });
            });
        ++server.inFlight;
        const auto queued
            = server.inFlight > slots ? serviceTime * (server.inFlight - slots) / slots : state::duration {};
        in((cold ? coldServiceTime : serviceTime) + queued, [=, this] {
            --m_servers[index].inFlight;
            ++m_servers[index].answersSinceCold;
            in(transit, [=, this] {
                deliver(number, attempt_finished { id, state::attempt_outcome::answered, 200, {} });
            });
        });
    }

    void execute(std::size_t /*number*/, const answer_caller& wanted)
    {
        ++second().answered;
        second().milliseconds.push_back(
            state::toMilliseconds(m_now - m_arrivals[static_cast<std::uint64_t>(wanted.id)]));
        const auto index = std::stoul(wanted.server.substr(wanted.server.rfind('-') + 1));
        second().fromMoved += dataCentreOf(index) == movedDataCentre ? 1 : 0;
    }

    void execute(std::size_t /*number*/, const refuse_caller& wanted)
    {
        ++(wanted.outcome == state::verdict::not_run ? second().refused : second().mayHaveRun);
    }

    void execute(std::size_t number, const probe_server& wanted)
    {
        probe_finished finished { wanted.server, true, {}, {} };
        const auto& server = m_servers[std::stoul(wanted.address)];
        if (wanted.kind == probe_kind::health)
            finished.health = server.answersSinceCold < answersToWarm ? reported_health::cold : reported_health::live;
        else
            finished.load = reported_load { server.inFlight, 0, slots, "boot" };
        in(otherDataCentreDelay, [=, this] { deliver(number, finished); });
    }

    void execute(std::size_t /*number*/, const send_peer_message& wanted)
    {
        const auto to = static_cast<std::size_t>(std::stoul(wanted.address));
        const auto from = wanted.message.sender.substr(wanted.message.sender.rfind('-') + 1);
        in(otherDataCentreDelay, [=, this, message = wanted.message] {
            deliver(to, peer_message_received { from, message });
        });
    }

    void execute(std::size_t number, const fetch_value& wanted)
    {
        value_received received;
        received.key = wanted.key;
        received.source = wanted.source;
        received.fromAddress = wanted.address;
        received.requestedAt = wanted.requestedAt;
        if (wanted.source == state::value_source::platform)
            return in(
                otherDataCentreDelay, [=, this] { readPlatform(number, received, wanted.after, m_now + wanted.wait); });
        m_reads[++m_token] = [=, this](const reply_with_value& served) mutable {
            received.number = served.number;
            received.body = served.body;
            in(otherDataCentreDelay, [=, this] { deliver(number, received); });
        };
        in(otherDataCentreDelay, [=, this, token = m_token, to = static_cast<std::size_t>(std::stoul(wanted.address))] {
            deliver(to, value_requested { token, wanted.key, wanted.after });
        });
    }

    /// Answers a watch when the value changes or the wait has expired. The value is checked every 20 ms.
    void readPlatform(std::size_t number, value_received received, state::revision after, state::time_point until)
    {
        const auto newest = received.key == outKey ? m_revision : 1;
        if (newest <= after && m_now < until)
            return in(milliseconds { 20 }, [=, this] { readPlatform(number, received, after, until); });
        if (newest > after) {
            received.number = newest;
            received.body = received.key == outKey ? m_out : "";
        }
        in(otherDataCentreDelay, [=, this] { deliver(number, received); });
    }

    void execute(std::size_t /*number*/, const reply_with_value& wanted)
    {
        const auto found = m_reads.find(wanted.replyToken);
        if (found == m_reads.end())
            return;
        found->second(wanted);
        m_reads.erase(found);
    }

    bool m_naive;
    const state::time_point m_start { seconds { 100 } };
    state::time_point m_now = m_start;
    random_generator m_trace { 7 };
    random_generator m_random { 11 };
    std::uint64_t m_order = 0;
    std::priority_queue<scheduled> m_schedule;
    std::vector<node> m_nodes;
    std::array<fake_server, serverCount> m_servers;
    std::uint64_t m_requests = 0;
    std::map<std::uint64_t, state::time_point> m_arrivals;
    state::revision m_revision = 1;
    std::string m_out;
    std::uint64_t m_token = 0;
    std::map<std::uint64_t, std::function<void(const reply_with_value&)>> m_reads;
    std::map<std::int64_t, second_result> m_seconds;
};

std::string_view eventAt(std::int64_t second)
{
    if (second == outAt.count() || second == outAgainAt.count())
        return "out";
    if (second == restoredAt.count() || second == restoredAgainAt.count())
        return "back";
    return "";
}

void print(std::string_view name, std::map<std::int64_t, second_result>& measured, bool csv)
{
    for (auto& [number, service] : measured) {
        if (number < measuredFrom.count())
            continue;
        const auto all = service.answered + service.refused + service.mayHaveRun;
        const double success = all == 0 ? 1 : static_cast<double>(service.answered) / static_cast<double>(all);
        const double p99 = quantile(service.milliseconds, 0.99);
        const auto format = csv ? "{},{},{},{:.4f},{:.2f},{},{},{},{}\n"
                                : "{:<10} second {:>2} {:<4}  success {:.4f}  p99 {:8.2f} ms  refused {:>5}  may have "
                                  "run {:>3}  servers fell {:>3}  "
                                  "answers from {} {:>5}\n";
        if (csv)
            fmt::print(fmt::runtime(format), name, number, eventAt(number), success, p99, service.refused,
                service.mayHaveRun, service.outages, service.fromMoved);
        else
            fmt::print(fmt::runtime(format), name, number, eventAt(number), success, p99, service.refused,
                service.mayHaveRun, service.outages, movedDataCentre, service.fromMoved);
    }
}

} // namespace
} // namespace acaciaslip::coordination

int main(int argc, char** argv)
{
    using namespace acaciaslip::coordination;
    const bool csv = argc > 1 && std::string_view(argv[1]) == "--csv";
    if (csv)
        fmt::print("way,second,event,success,p99_ms,refused,may_have_run,servers_fell,answers_from_moved\n");
    for (const bool naive : { false, true }) {
        run measured(naive);
        print(naive ? "naive" : "acaciaslip", measured.measure(), csv);
    }
    return 0;
}
