#include "coordination/node.hpp"

#include "coordination/freshness.hpp"
#include "coordination/membership.hpp"
#include "coordination/peer_telling.hpp"
#include "coordination/read_planning.hpp"
#include "coordination/reports.hpp"
#include "coordination/request_handling.hpp"
#include "coordination/server_review.hpp"
#include "coordination/server_tracking.hpp"
#include "coordination/settings_spread.hpp"
#include "coordination/stopping.hpp"

namespace acaciaslip::coordination {

namespace {

/// Everything a handler may need, so that one overload set can dispatch.
struct dispatch {
    node& self;
    state::time_point now;
    random_generator& random;
    effect_list& effects;

    void operator()(const request_arrived& arrived) const { admitRequest(self, arrived, now, random, effects); }
    void operator()(const caller_gone& gone) const { noteCallerGone(self, gone, now, effects); }
    void operator()(const attempt_finished& finished) const { noteAttemptResult(self, finished, now, random, effects); }
    void operator()(const probe_finished& finished) const { noteProbeFinished(self, finished, now, effects); }
    void operator()(const peer_message_received& received) const { notePeerMessage(self, received, now, effects); }
    void operator()(const datagram_refused& refused) const { noteDatagramRefused(self, refused); }
    void operator()(const value_received& received) const { noteValue(self, received, now, random, effects); }
    void operator()(const value_read_failed& failed) const { noteValueReadFailed(self, failed, now, random); }
    void operator()(const value_requested& requested) const { serveValue(self, requested, effects); }
    void operator()(const drain_requested&) const { beginStop(self, now, effects); }
    void operator()(const tick&) const
    {
        serveAllWaiting(self, now, random, effects);
        planReads(self, now, random, effects);
        reviewServers(self, now, random, effects);
        forgetSilentPeers(self, now);
        tellPeers(self, now, effects);
        advanceStop(self, now, effects);
    }
};

} // namespace

node makeNode(state::node_settings settings, std::uint64_t incarnation, settings_reader reader)
{
    node made;
    made.settings = std::move(settings);
    made.incarnation = incarnation;
    made.readSettings = std::move(reader);
    return made;
}

void handle(node& self, const event& happened, state::time_point now, random_generator& random, effect_list& effects)
{
    noteTimePassed(self, now, random, effects);
    self.lastEventAt = now;
    std::visit(dispatch { self, now, random, effects }, happened);
    advanceDueRequests(self, now, random, effects);
}

} // namespace acaciaslip::coordination
