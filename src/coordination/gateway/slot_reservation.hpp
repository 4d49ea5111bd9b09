#pragma once

#include "coordination/gateway/node.hpp"

namespace acaciaslip::coordination::gateway {

/// Pattern: requests of 640 ms with an objective of 3 s fill the servers of a service, and requests of 100 ms with an
/// objective of 250 ms, which are more urgent, find no free slot in time.
///
/// While more urgent classes of its service have demand, a less urgent request starts only at a server where slots for
/// them stay free. The slots below the point from which a server works slower are kept, since the work of an urgent
/// request on a slow server often takes too long. A request that finds no such server waits, and the reserve becomes
/// smaller as its slack decreases, so that the less urgent classes can use all slots below that point under lasting
/// load.

/// Slots per server that are kept for classes which are more urgent than a request's.
/// \return 0: none, and servers may be filled as if there were no priorities. A fraction applies to that share of the
/// servers.
[[nodiscard]] double computeReserve(
    gateway_node& self, const state::gateway::pending_request& request, state::time_point now);

/// Whether a request that is held back should probe few servers, because it can still wait for a long time.
[[nodiscard]] bool hasAmpleSlack(
    const gateway_node& self, const state::gateway::pending_request& request, state::time_point now) noexcept;

/// Whether a server has a free slot for a request beyond the reserve.
/// \param reserve slots per server, as returned by `computeReserve`
[[nodiscard]] bool hasUnreservedSlot(const state::gateway::server_state& server, double reserve) noexcept;

/// Requests that a server with this many slots may run when a less urgent one is started there.
/// \param kept slots that are kept on this server
[[nodiscard]] double unreservedSlots(double slots, double kept) noexcept;

} // namespace acaciaslip::coordination::gateway
