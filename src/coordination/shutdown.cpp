#include "coordination/shutdown.hpp"

#include "coordination/node.hpp"

namespace acaciaslip::coordination {

namespace {

constexpr state::duration stopGracePeriod = std::chrono::seconds { 2 }; ///< for outcomes after the last deadline

/// Whether no request and no attempt is in progress. An attempt can outlive its request; one whose outcome is lost does
/// not delay the shutdown beyond the grace period after the last deadline.
bool isIdle(const node& self, state::time_point now)
{
    const auto& table = self.requests;
    return table.requests.empty() && (table.attempts.empty() || now >= table.lastDeadline + stopGracePeriod);
}

void enterPhase(node& self, node_phase phase, state::time_point now, effect_list& effects)
{
    self.phase = phase;
    self.phaseSince = now;
    effects.emplace_back(log_event { log_level::info, "phase",
        { { "phase", std::string(state::findName(nodePhaseNames, phase)) },
            { "in_progress", std::to_string(self.requests.requests.size()) } } });
}

} // namespace

void beginShutdown(node& self, state::time_point now, effect_list& effects)
{
    if (self.phase < node_phase::lame_duck)
        enterPhase(self, node_phase::lame_duck, now, effects);
}

void advanceShutdown(node& self, state::time_point now, effect_list& effects)
{
    if (self.phase == node_phase::lame_duck && now - self.phaseSince >= self.settings.lameDuck)
        enterPhase(self, node_phase::draining, now, effects);
    if (self.phase == node_phase::draining && isIdle(self, now)) {
        enterPhase(self, node_phase::stopped, now, effects);
        effects.emplace_back(node_stopped {});
    }
}

} // namespace acaciaslip::coordination
