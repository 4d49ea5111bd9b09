#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace acaciaslip::soak {

/// Whether a response of this status guarantees that no server has executed the request or will execute it.
/// Deliberately not shared with the load balancer, which this program checks.
constexpr bool guaranteesNotRun(int status) noexcept
{
    constexpr std::array<int, 4> statuses { 408, 421, 429, 503 };
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

/// The observed history of one request.
struct request_record {
    bool idempotent = false;
    std::uint32_t runs = 0; ///< number of times that servers executed it
    bool refusedAsNotRun = false; ///< the caller received a status that guarantees that no server executed it
    std::string service; ///< the service of its route
};

/// Checks the load balancer's guarantees against what the servers and callers of a test run observe.
class guarantee_checker {
public:
    /// Records a request that a caller is about to send.
    void recordSent(const std::string& id, bool idempotent, const std::string& service)
    {
        m_requests[id] = { idempotent, 0, false, service };
    }

    /// Records that a server of the service executes the request.
    void recordRun(const std::string& id, const std::string& service)
    {
        ++m_checked;
        const auto known = m_requests.find(id);
        if (known == m_requests.end())
            return recordViolation("a server executed a request that no caller sent: " + id);
        auto& request = known->second;
        if (++request.runs > 1 && !request.idempotent)
            recordViolation("a non-idempotent request was executed more than once: " + id);
        if (request.refusedAsNotRun && !request.idempotent)
            recordViolation("a non-idempotent request was executed after it was refused as not executed: " + id);
        if (request.service != service)
            recordViolation(
                "a request was executed by service " + service + " instead of " + request.service + ": " + id);
    }

    /// Records the answer that the caller received.
    /// \param isComplete whether the body is complete
    void recordAnswer(const std::string& id, int status, const std::string& body, bool isComplete)
    {
        ++m_checked;
        constexpr int ok = 200;
        ++m_statuses[status];
        auto& request = m_requests[id];
        if (status == ok && (!isComplete || body != "ran " + id))
            recordViolation(
                "a caller received an answer that does not match its request: " + id + " received '" + body + "'");
        if (status == ok && request.runs == 0)
            recordViolation("a request succeeded without being executed: " + id);
        if (!guaranteesNotRun(status))
            return;
        request.refusedAsNotRun = true;
        if (request.runs > 0 && !request.idempotent)
            recordViolation("a non-idempotent request was refused as not executed after it had been executed: " + id);
    }

    void recordViolation(std::string description) { m_violations.push_back(std::move(description)); }

    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    /// Returns the number of recorded runs and answers.
    [[nodiscard]] std::uint64_t checked() const { return m_checked; }
    /// Returns the number of answers with the HTTP status.
    [[nodiscard]] std::uint32_t count(int status) const
    {
        const auto found = m_statuses.find(status);
        return found == m_statuses.end() ? 0 : found->second;
    }
    [[nodiscard]] std::size_t requests() const { return m_requests.size(); }

private:
    std::map<std::string, request_record> m_requests;
    std::map<int, std::uint32_t> m_statuses;
    std::vector<std::string> m_violations;
    std::uint64_t m_checked = 0;
};

} // namespace acaciaslip::soak
