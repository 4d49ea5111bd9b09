/// Drives the logic of one node without a network: publishes settings, passes in one request and prints the resulting
/// effects.

#include "acaciaslip.hpp"

#include <cstdio>

using namespace acaciaslip;

namespace {

/// Returns settings as they would be read from the platform: one service with one server.
absl::StatusOr<state::fleet_settings> readSettings(const std::map<state::value_key, std::string>& /*bodies*/)
{
    state::fleet_settings settings;
    auto& service = settings.services.emplace_back();
    service.name = { "kierdicht", "routes" };
    service.pathPrefix = "/routes";
    auto& host = settings.hosts.emplace_back();
    host.id = "routes-1";
    host.address = "127.0.0.1:8200";
    host.service = service.name;
    return settings;
}

} // namespace

int main()
{
    auto node = coordination::makeNode({}, 1, readSettings);
    coordination::random_generator random { 7 };
    coordination::effect_list effects;
    state::time_point now { std::chrono::seconds { 1 } };

    coordination::value_received hosts;
    hosts.key = "acaciaslip/hosts";
    hosts.number = 1;
    coordination::handle(node, hosts, now, random, effects);

    // A cold server receives requests only after the node has waited long enough for peer messages to know that no
    // other node holds the server's permit.
    for (const auto end = now + std::chrono::seconds { 10 }; now < end; now += std::chrono::milliseconds { 10 })
        coordination::handle(node, coordination::tick {}, now, random, effects);
    effects.clear();

    coordination::request_arrived request;
    request.id = state::request_id { 1 };
    request.path = "/routes/today";
    coordination::handle(node, request, now, random, effects);
    for (const auto& effect : effects) {
        if (const auto* send = std::get_if<coordination::send_attempt>(&effect))
            std::printf("send to %s at %s\n", send->server.c_str(), send->address.c_str());
        if (const auto* refused = std::get_if<coordination::refuse_caller>(&effect))
            std::printf(
                "refuse: %s\n", std::string(state::findName(state::refusalReasonNames, refused->reason)).c_str());
    }
    return 0;
}
