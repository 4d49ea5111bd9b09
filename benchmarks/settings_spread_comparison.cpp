// Measures platform calls, control traffic and the time until a change is in force on all nodes, by fleet size.

#include "coordination/simulated_fleet.hpp"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <optional>

#include <fmt/format.h>

namespace acaciaslip::coordination {
namespace {

constexpr std::size_t teams = 53;
constexpr std::size_t changes = 5;

struct figures {
    std::size_t nodes = 0;
    double startSeconds = 0; ///< from starting all nodes until every node is serving
    std::size_t startCalls = 0; ///< calls in the busiest second of that time
    double steadyCalls = 0; ///< per second, without changes
    double changeCalls = 0; ///< per second, with a change every two seconds
    double changeSeconds = 0; ///< longest time until a change is in force on all nodes
    double restartSeconds = 0; ///< from restarting all nodes at once until every node is serving
    std::size_t restartCalls = 0; ///< calls in the busiest second of that time
    double sentBytes = 0; ///< per second, on the node that sends most
    double receivedBytes = 0; ///< per second, on the node that receives most
    double naiveCalls = 0; ///< per second, if every node watched every value
};

double toSeconds(std::optional<state::duration> span)
{
    return span ? std::chrono::duration<double>(*span).count() : -1;
}

bool isServing(const simulated_fleet& fleet)
{
    return std::all_of(fleet.members.begin(), fleet.members.end(), [](const auto& entry) {
        return entry.second.self->phase == node_phase::serving && !isAnyOutdated(*entry.second.self);
    });
}

template <typename Count> double findHighest(const simulated_fleet& fleet, Count count)
{
    double highest = 0;
    for (const auto& [id, member] : fleet.members)
        highest = std::max(highest, static_cast<double>(count(member.self->counters)));
    return highest;
}

void measureSteady(simulated_fleet& fleet, figures& found)
{
    constexpr state::duration span = 10s;
    const auto began = fleet.now;
    for (auto& [id, member] : fleet.members) {
        member.self->counters.controlBytesSent = 0;
        member.self->counters.controlBytesReceived = 0;
    }
    fleet.run(span);
    const double seconds = std::chrono::duration<double>(span).count();
    found.steadyCalls = fleet.platform.countPerSecond(began, fleet.now);
    found.sentBytes = findHighest(fleet, [](const auto& counters) { return counters.controlBytesSent; }) / seconds;
    found.receivedBytes
        = findHighest(fleet, [](const auto& counters) { return counters.controlBytesReceived; }) / seconds;
}

void measureChanges(simulated_fleet& fleet, const fleet_layout& plan, figures& found)
{
    const auto began = fleet.now;
    for (std::size_t change = 0; change < changes; ++change) {
        const state::revision number = change + 2;
        plan.changeTeam(fleet, number);
        const auto changedAt = fleet.now;
        const auto took = fleet.runUntil([&] { return fleet.allNodesHave("acaciaslip/teams/0", number); }, 10s);
        found.changeSeconds = took ? std::max(found.changeSeconds, toSeconds(took)) : -1;
        fleet.run(2s - std::min<state::duration>(2s, fleet.now - changedAt));
    }
    found.changeCalls = fleet.platform.countPerSecond(began, fleet.now);
}

figures measure(std::size_t nodes, std::size_t dataCentres)
{
    figures found;
    found.nodes = nodes;
    const fleet_layout plan { nodes, dataCentres, teams, 34 };
    simulated_fleet fleet(nodes);
    plan.publish(fleet);
    plan.startAll(fleet);
    found.startSeconds = toSeconds(fleet.runUntil([&] { return isServing(fleet); }, 60s));
    found.startCalls = fleet.platform.countPeakCalls({}, fleet.now);
    fleet.run(2s);
    measureSteady(fleet, found);
    measureChanges(fleet, plan, found);
    const auto restartedAt = fleet.now;
    plan.startAll(fleet);
    found.restartSeconds = toSeconds(fleet.runUntil([&] { return isServing(fleet); }, 60s));
    found.restartCalls = fleet.platform.countPeakCalls(restartedAt, fleet.now);
    const double watchSeconds = 5;
    found.naiveCalls = static_cast<double>(nodes * (teams + wellKnownKeys.size())) / watchSeconds;
    return found;
}

void print(const figures& found, bool csv)
{
    const auto* const format = csv
        ? "{},{:.2f},{},{:.1f},{:.1f},{:.3f},{:.2f},{},{:.0f},{:.0f},{:.0f}\n"
        : "{:>5} {:>8.2f} {:>11} {:>9.1f} {:>10.1f} {:>9.3f} {:>9.2f} {:>13} {:>8.0f} {:>8.0f} {:>9.0f}\n";
    fmt::print(fmt::runtime(format), found.nodes, found.startSeconds, found.startCalls, found.steadyCalls,
        found.changeCalls, found.changeSeconds, found.restartSeconds, found.restartCalls, found.sentBytes,
        found.receivedBytes, found.naiveCalls);
    std::fflush(stdout);
}

} // namespace
} // namespace acaciaslip::coordination

int main(int argc, const char** argv)
{
    const bool csv = argc > 1 && std::strcmp(argv[1], "--csv") == 0;
    if (csv)
        fmt::print("nodes,start_s,start_busiest_calls_per_s,steady_calls_per_s,change_calls_per_s,change_max_s,"
                   "restart_s,restart_busiest_calls_per_s,sent_bytes_per_s,received_bytes_per_s,naive_calls_per_s\n");
    else
        fmt::print("53 teams, one change every 2 s; bytes of the busiest node; naive: every node watches every value\n"
                   "nodes  start_s start_peak/s  steady/s changing/s change_s restart_s restart_peak/s  sent_B/s  "
                   "recv_B/s   naive/s\n");
    acaciaslip::coordination::print(acaciaslip::coordination::measure(16, 3), csv);
    acaciaslip::coordination::print(acaciaslip::coordination::measure(64, 11), csv);
    acaciaslip::coordination::print(acaciaslip::coordination::measure(256, 11), csv);
    return 0;
}
