#include "coordination/gateway/shutdown.hpp"

#include <algorithm>

namespace acaciaslip::coordination::gateway {

namespace {

/// The platform's load balancer checks once per second and sends no new connections after two failed checks. The
/// remaining time covers connections that are already being opened.
constexpr state::duration leavingDuration = std::chrono::milliseconds { 2700 };
constexpr state::duration killMargin = std::chrono::milliseconds { 300 }; ///< for the answer to reach the caller
constexpr state::duration exitTime = std::chrono::milliseconds { 100 }; ///< to close everything before SIGKILL
constexpr double maxLeavingShare = 0.5; ///< share of the time until SIGKILL; applies when that time is short

void enterPhase(gateway_node& self, node_phase phase, state::time_point now, effect_list& effects)
{
    self.phase = phase;
    self.phaseSince = now;
    effects.emplace_back(log_event { log_level::info, "phase",
        { { "phase", std::string(state::findName(nodePhaseNames, phase)) },
            { "in_progress", std::to_string(self.requests.size()) } } });
}

state::duration leavingTime(const gateway_node& self) noexcept
{
    return std::min(leavingDuration,
        std::chrono::duration_cast<state::duration>(self.settings.limits.shutdownGrace * maxLeavingShare));
}

} // namespace

void beginShutdown(gateway_node& self, state::time_point now, effect_list& effects)
{
    if (self.phase >= node_phase::leaving)
        return;
    self.killedAt = now + self.settings.limits.shutdownGrace;
    enterPhase(self, node_phase::leaving, now, effects);
}

bool endsBeforeKill(const gateway_node& self, state::duration expected, state::time_point now) noexcept
{
    return !self.killedAt || now + expected + killMargin <= *self.killedAt;
}

std::optional<state::time_point> latestExit(const gateway_node& self) noexcept
{
    return self.killedAt ? std::optional(*self.killedAt - exitTime) : std::nullopt;
}

void advanceShutdown(gateway_node& self, state::time_point now, effect_list& effects)
{
    if (self.phase == node_phase::leaving && now - self.phaseSince >= leavingTime(self))
        enterPhase(self, node_phase::draining, now, effects);
    if (self.phase == node_phase::draining && self.requests.empty()) {
        enterPhase(self, node_phase::stopped, now, effects);
        effects.emplace_back(node_stopped {});
    }
}

std::optional<state::time_point> nextShutdownStep(const gateway_node& self) noexcept
{
    if (self.phase == node_phase::leaving)
        return self.phaseSince + leavingTime(self);
    return std::nullopt;
}

} // namespace acaciaslip::coordination::gateway
