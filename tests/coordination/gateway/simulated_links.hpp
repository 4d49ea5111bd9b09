#pragma once

#include "state/time.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace acaciaslip::coordination::gateway {

/// Transfers between hosts whose links have a limited rate. The transfers of a host share its link equally, separately
/// in each direction.
class simulated_links {
public:
    using transfer_id = std::uint64_t;

    /// \param done called when the last byte has arrived
    transfer_id start(const std::string& from, const std::string& to, double bytes, std::function<void()> done)
    {
        m_transfers.emplace(m_nextId, transfer { from, to, bytes, std::move(done) });
        return m_nextId++;
    }

    void cancel(transfer_id id) { m_transfers.erase(id); }

    [[nodiscard]] bool isRunning(transfer_id id) const { return m_transfers.contains(id); }

    /// Cancels the transfers from and to a host.
    void cancelAllOf(const std::string& ip)
    {
        std::erase_if(m_transfers, [&](const auto& entry) { return entry.second.from == ip || entry.second.to == ip; });
    }

    void step(state::duration elapsed)
    {
        const double seconds = std::chrono::duration<double>(elapsed).count();
        std::map<std::string, int> sending;
        std::map<std::string, int> receiving;
        for (const auto& [id, running] : m_transfers) {
            ++sending[running.from];
            ++receiving[running.to];
        }
        std::vector<transfer_id> finished;
        for (auto& [id, running] : m_transfers) {
            const double rate = std::min(bytesPerSecond(running.from) / sending[running.from],
                bytesPerSecond(running.to) / receiving[running.to]);
            running.bytesLeft -= rate * seconds;
            sentBytes[running.from] += rate * seconds;
            if (running.bytesLeft <= 0)
                finished.push_back(id);
        }
        for (const auto id : finished) {
            auto ended = m_transfers.extract(id);
            if (!ended.empty()) // not cancelled by an earlier one
                ended.mapped().done();
        }
    }

    double defaultBytesPerSecond = 1e12; ///< of a host that `byHost` does not list
    std::map<std::string, double> byHost; ///< bytes per second
    std::map<std::string, double> sentBytes;

private:
    struct transfer {
        std::string from;
        std::string to;
        double bytesLeft = 0;
        std::function<void()> done;
    };

    [[nodiscard]] double bytesPerSecond(const std::string& ip) const
    {
        const auto found = byHost.find(ip);
        return found == byHost.end() ? defaultBytesPerSecond : found->second;
    }

    std::map<transfer_id, transfer> m_transfers;
    transfer_id m_nextId = 1;
};

} // namespace acaciaslip::coordination::gateway
