#include "coordination/node.hpp"

#include "coordination/membership.hpp"
#include "coordination/peer_messaging.hpp"
#include "coordination/probe_results.hpp"
#include "coordination/read_planning.hpp"
#include "coordination/request_handling.hpp"
#include "coordination/server_checks.hpp"
#include "coordination/server_tracking.hpp"
#include "coordination/settings_distribution.hpp"
#include "coordination/shutdown.hpp"
#include "coordination/state_refresh.hpp"

namespace acaciaslip::coordination {

namespace {

/// Visitor that passes each kind of event to its handler, with the arguments that the handlers need.
struct event_dispatcher {
    node& self;
    state::time_point now;
    random_generator& random;
    effect_list& effects;

    void operator()(const request_arrived& arrived) const { admitRequest(self, arrived, now, random, effects); }
    void operator()(const caller_disconnected& disconnected) const
    {
        handleCallerDisconnected(self, disconnected, now, effects);
    }
    void operator()(const attempt_finished& finished) const
    {
        handleAttemptFinished(self, finished, now, random, effects);
    }
    void operator()(const probe_finished& finished) const { handleProbeFinished(self, finished, now, effects); }
    void operator()(const peer_message_received& received) const { handlePeerMessage(self, received, now, effects); }
    void operator()(const datagram_rejected& refused) const { handleDatagramRejected(self, refused); }
    void operator()(const value_received& received) const { handleValue(self, received, now, random, effects); }
    void operator()(const value_read_failed& failed) const { handleValueReadFailed(self, failed, now, random); }
    void operator()(const value_requested& requested) const { serveValue(self, requested, effects); }
    void operator()(const drain_requested&) const { beginShutdown(self, now, effects); }
    void operator()(const tick&) const
    {
        dispatchAllWaiting(self, now, random, effects);
        startDueReads(self, now, random, effects);
        checkServers(self, now, random, effects);
        expirePeers(self, now);
        sendDueMessages(self, now, effects);
        advanceShutdown(self, now, effects);
    }
};

} // namespace

node makeNode(state::node_settings settings, std::uint64_t incarnation, settings_reader reader)
{
    node created;
    created.settings = std::move(settings);
    created.incarnation = incarnation;
    created.readSettings = std::move(reader);
    return created;
}

void handle(node& self, const event& received, state::time_point now, random_generator& random, effect_list& effects)
{
    detectPause(self, now, random, effects);
    self.lastEventAt = now;
    std::visit(event_dispatcher { self, now, random, effects }, received);
    processDueRequests(self, now, random, effects);
}

} // namespace acaciaslip::coordination
