#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace acaciaslip::soak {

/// What servers and callers have seen of one request.
struct request_record {
    bool idempotent = false;
    std::uint32_t runs = 0;
    bool refusedAsNotRun = false;
    std::string service; ///< that its route allows
};

/// Gathers what is seen from outside, and says which promises are broken.
class promises {
public:
    void sent(const std::string& id, bool idempotent, const std::string& service)
    {
        m_requests[id] = { idempotent, 0, false, service };
    }

    void ran(const std::string& id, const std::string& service)
    {
        ++m_checked;
        const auto known = m_requests.find(id);
        if (known == m_requests.end())
            return breakPromise("a server ran a request that nobody sent: " + id);
        auto& request = known->second;
        if (++request.runs > 1 && !request.idempotent)
            breakPromise("a request that may run once ran again: " + id);
        if (request.refusedAsNotRun && !request.idempotent)
            breakPromise("a request ran after it was refused as not run: " + id);
        if (request.service != service)
            breakPromise("a request ran at service " + service + " instead of " + request.service + ": " + id);
    }

    void answered(const std::string& id, int status, const std::string& body, bool isWhole)
    {
        ++m_checked;
        constexpr int ok = 200;
        constexpr int unavailable = 503;
        ++m_statuses[status];
        auto& request = m_requests[id];
        if (status == ok && (!isWhole || body != "ran " + id))
            breakPromise("a caller got another answer than its own: " + id + " got '" + body + "'");
        if (status == ok && request.runs == 0)
            breakPromise("a success without a run: " + id);
        if (status != unavailable)
            return;
        request.refusedAsNotRun = true;
        if (request.runs > 0 && !request.idempotent)
            breakPromise("a request was refused as not run, and had run: " + id);
    }

    void breakPromise(std::string what) { m_broken.push_back(std::move(what)); }

    [[nodiscard]] const std::vector<std::string>& broken() const { return m_broken; }
    [[nodiscard]] std::uint64_t checked() const { return m_checked; }
    [[nodiscard]] std::uint32_t count(int status) const
    {
        const auto found = m_statuses.find(status);
        return found == m_statuses.end() ? 0 : found->second;
    }
    [[nodiscard]] std::size_t requests() const { return m_requests.size(); }

private:
    std::map<std::string, request_record> m_requests;
    std::map<int, std::uint32_t> m_statuses;
    std::vector<std::string> m_broken;
    std::uint64_t m_checked = 0;
};

} // namespace acaciaslip::soak
