#include "coordination/gateway/waiting_order.hpp"

#include "coordination/gateway/request_classes.hpp"

namespace acaciaslip::coordination::gateway {

namespace {

using state::gateway::pending_request;
using state::gateway::waiting_position;

waiting_position findPosition(const gateway_node& self, const pending_request& request)
{
    return { request.priority, request.objectiveAt - typicalServiceTime(self, request),
        static_cast<std::uint64_t>(request.id) };
}

} // namespace

void updateWaiting(gateway_node& self, pending_request& request)
{
    if (!request.probeAgainAt) {
        removeWaiting(self, request);
        request.waiting.reset();
        return;
    }
    if (request.waiting || findClass(self, request) == nullptr)
        return;
    request.waiting = findPosition(self, request);
    self.services[request.service].waiting.insert(*request.waiting);
}

void removeWaiting(gateway_node& self, const pending_request& request)
{
    if (request.waiting)
        self.services[request.service].waiting.erase(*request.waiting);
}

pending_request* findFirstWaiting(gateway_node& self, const pending_request& request)
{
    const auto service = self.services.find(request.service);
    if (service == self.services.end() || service->second.waiting.empty())
        return nullptr;
    const auto& first = *service->second.waiting.begin();
    if (first.request == static_cast<std::uint64_t>(request.id) || !(first < findPosition(self, request)))
        return nullptr;
    const auto found = self.requests.find(first.request);
    return found == self.requests.end() ? nullptr : &found->second;
}

} // namespace acaciaslip::coordination::gateway
