/// Prints how exactly hosts keep to a team's allowance, and what this costs in messages, by number of hosts, rate and
/// place of the demand. No network: a datagram takes 10 ms.

#include "coordination/gateway/allowance_fleet.hpp"

#include <array>
#include <cstdint>
#include <cstdio>
#include <cstdlib>

namespace {

using namespace acaciaslip;
using namespace acaciaslip::coordination::gateway;
using namespace std::chrono_literals;

enum class demand_place { even, one_host, moving };

constexpr std::array<state::enum_name<demand_place>, 3> placeNames { {
    { demand_place::even, "even" },
    { demand_place::one_host, "one host" },
    { demand_place::moving, "moving" },
} };

constexpr double usualDemand = 1 / 1.6; ///< of the rate
constexpr double excessiveDemand = 3;
constexpr state::duration usualTime = 10s;
constexpr state::duration excessiveTime = 10s;
constexpr std::size_t hostStride = 7; ///< between the hosts of moving demand, so that it changes data centres

std::string chooseHost(allowance_fleet& fleet, std::size_t hosts, demand_place place)
{
    if (place == demand_place::even)
        return fleet.randomHost();
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(fleet.hosts.now.time_since_epoch()).count();
    return simulated_hosts::ipOf(
        place == demand_place::one_host ? 1 : static_cast<std::size_t>(second) * hostStride % hosts);
}

void measure(std::size_t hosts, double rate, demand_place place)
{
    allowance_fleet fleet { hosts, { allowance_fleet::makeTeam("t", rate, rate) } };
    fleet.chooseHost = [&] { return chooseHost(fleet, hosts, place); };
    auto& used = fleet.usageOf("t");
    fleet.run("t", rate * usualDemand, usualTime);
    const auto refusedBelow = used.refused;
    const auto messagesBelow = static_cast<double>(fleet.messages());
    state::duration untilLimit {};
    for (; untilLimit < excessiveTime && used.refused == refusedBelow; untilLimit += 10ms)
        fleet.run("t", rate * excessiveDemand, 10ms);
    const auto admitted = used.admitted;
    fleet.run("t", rate * excessiveDemand, excessiveTime - untilLimit);
    const auto limitedTime = std::chrono::duration<double>(excessiveTime - untilLimit).count();
    std::printf("| %zu | %.0f | %s | %zu | %.2f | %.2f | %.2f | %.0f | %.0f |\n", hosts, rate,
        std::string(state::findName(placeNames, place)).c_str(), refusedBelow, used.worst,
        std::chrono::duration<double>(untilLimit).count(),
        static_cast<double>(used.admitted - admitted) / limitedTime / rate,
        messagesBelow / std::chrono::duration<double>(usualTime).count(),
        (static_cast<double>(fleet.messages()) - messagesBelow) / std::chrono::duration<double>(excessiveTime).count());
    std::fflush(stdout);
}

} // namespace

int main()
{
    std::puts("| hosts | rate /s | demand | refused below | worst window / rule | s to limit | admitted / rate |"
              " datagrams/s below | datagrams/s above |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (const std::size_t hosts : { 15, 114, 312 }) {
        for (const double rate : { 1.0, 10.0, 100.0, 1000.0 }) {
            for (const auto& [place, name] : placeNames)
                measure(hosts, rate, place);
        }
    }
    return EXIT_SUCCESS;
}
