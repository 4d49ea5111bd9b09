#pragma once

#include "coordination/property_fakes.hpp"

#include <algorithm>
#include <deque>

namespace acaciaslip::coordination {

/// Records what happens in a simulated fleet and checks the invariants of the product after every event.
class invariant_checks {
public:
    explicit invariant_checks(const fake_fleet& fleet)
        : m_fleet(fleet)
    {
    }

    void recordRequest(const request_key& key, state::time_point deadline, bool idempotent)
    {
        m_requests[key] = { deadline, idempotent, false, false, 0 };
    }

    /// The caller has disconnected or the node has ended, so that no answer is expected.
    void recordDisconnect(const request_key& key) { m_requests[key].ended = true; }

    /// The node has been restarted, so that no answers to its requests are expected.
    void recordRestart(std::size_t index)
    {
        for (auto& [key, request] : m_requests)
            request.ended |= key.node == index;
    }

    /// A server has started to execute the request.
    void recordExecution(const request_key& key)
    {
        auto& request = m_requests[key];
        require(++request.runs == 1 || request.idempotent, key, "ran twice although it is not idempotent");
        require(!request.refusedAsNotRun, key, "ran after its caller had received not_run");
    }

    void recordEffect(std::size_t index, const effect& requested)
    {
        const auto keyOf = [&](state::request_id id) {
            return request_key { index, m_fleet.processes[index].incarnation, id };
        };
        if (const auto* answer = std::get_if<answer_caller>(&requested)) {
            const auto key = keyOf(answer->id);
            recordEnd(key);
            require(static_cast<const fake_payload&>(*answer->answer).requestKey == key, key,
                "received the answer to another request");
            require(m_requests[key].runs > 0, key, "was answered although it never ran");
        } else if (const auto* refusal = std::get_if<refuse_caller>(&requested)) {
            const auto key = keyOf(refusal->id);
            recordEnd(key);
            m_requests[key].refusedAsNotRun = refusal->outcome == state::verdict::not_run;
            require(!m_requests[key].refusedAsNotRun || m_requests[key].runs == 0, key,
                "was refused as not_run although it had run");
        } else if (const auto* send = std::get_if<send_attempt>(&requested)) {
            checkSend(index, *send);
        } else if (const auto* probe = std::get_if<probe_server>(&requested)) {
            checkProbe(*probe);
        } else if (const auto* cancelled = std::get_if<cancel_attempt>(&requested)) {
            require(m_fleet.processes[index].attempts.contains(cancelled->id), "an unknown attempt was cancelled");
        }
    }

    /// Checks one node's state. Called after every event of the node.
    void checkNode(std::size_t index)
    {
        const auto& process = m_fleet.processes[index];
        for (const auto& [key, record] : process.self.values) {
            auto& newest = m_revisions[{ index, process.incarnation, key }];
            require(record.active.number >= newest, key + " went back to an older revision");
            newest = record.active.number;
        }
        std::map<state::host_id, std::uint32_t> running;
        for (const auto& [id, attempt] : process.self.requests.attempts)
            ++running[process.self.fleet.servers[attempt.server].id];
        for (const auto& server : process.self.fleet.servers)
            require(server.ownInFlight == running[server.id], server.id + " has a wrong in-flight count");
        require(!process.stopped || process.self.requests.requests.empty(),
            "a planned stop ended while a request was in progress");
    }

    /// Checks time limits. Called after every step of the simulation.
    void checkStep()
    {
        if (m_publishedAt.empty() || m_publishedAt.back().first != m_fleet.platform.hosts.size())
            m_publishedAt.emplace_back(m_fleet.platform.hosts.size(), m_fleet.now);
        m_currentSince.resize(m_fleet.processes.size());
        for (std::size_t index = 0; index < m_currentSince.size(); ++index) {
            if (m_fleet.isPaused(index) || m_fleet.platform.down || m_fleet.platform.stale)
                m_currentSince[index] = m_fleet.now;
        }
        std::erase_if(m_requests, [&](const auto& entry) {
            const auto& [key, request] = entry;
            const auto bound = std::max(request.deadline, m_fleet.processes[key.node].pausedUntil) + endTolerance;
            require(request.ended || m_fleet.now < bound, key, "has not ended after its deadline");
            return request.ended && m_fleet.now > request.deadline + 10s;
        });
    }

    /// Checks that no node waits for an attempt that has no outcome. Called when the time without faults is over.
    void checkAttemptsEnded()
    {
        for (const auto& process : m_fleet.processes) {
            if (process.stopped)
                continue;
            require(process.self.requests.attempts.empty(),
                process.self.settings.id + " still has attempts without an outcome");
        }
    }

    /// Checks that every node has the newest revisions. Called when the time without faults is over.
    void checkNewestRevisions()
    {
        for (const auto& process : m_fleet.processes) {
            for (const auto* key : { "acaciaslip/hosts", "acaciaslip/data_centres" })
                require(process.stopped || activeRevision(process.self, key) == m_fleet.platform.hosts.size(),
                    process.self.settings.id + " does not have the newest revision of " + key);
        }
    }

    std::vector<std::string> violations; ///< descriptions of violated invariants

private:
    /// A request ends within this time after its deadline, or after the end of a later pause.
    static constexpr state::duration endTolerance = 100ms;
    /// A change reaches every node that can read from the platform within this time.
    static constexpr state::duration propagationLimit = 5s;
    /// After a fault, each permit has a single holder again within this time.
    static constexpr state::duration recoveryTime = 7s;

    struct request_record {
        state::time_point deadline;
        bool idempotent = false;
        bool ended = false;
        bool refusedAsNotRun = false;
        int runs = 0;
    };

    void require(bool holds, const std::string& what)
    {
        if (!holds)
            violations.push_back(std::to_string((m_fleet.now - state::time_point { 1h }) / 1us) + " us: " + what);
    }

    void require(bool holds, const request_key& key, const std::string& what)
    {
        if (!holds)
            require(false, std::to_string(static_cast<std::uint64_t>(key.id)) + "@" + std::to_string(key.node) + what);
    }

    void recordEnd(const request_key& key)
    {
        require(m_requests.contains(key) && !m_requests[key].ended, key, "ended twice, or never arrived");
        m_requests[key].ended = true;
    }

    void checkSend(std::size_t index, const send_attempt& send)
    {
        const auto& self = m_fleet.processes[index].self;
        const auto key = static_cast<const fake_payload&>(*send.body).requestKey;
        require(!m_requests[key].ended && m_fleet.now < send.deadline, key,
            "was sent after it had ended or its deadline had passed");
        const auto hostsRevision = activeRevision(self, "acaciaslip/hosts");
        const auto evacuatedRevision = activeRevision(self, "acaciaslip/data_centres");
        require(mayReceiveRequests(send.server, hostsRevision, evacuatedRevision),
            "a request was sent to " + send.server + ", which the node's revisions do not allow");
        for (const auto& [number, at] : m_publishedAt) {
            const auto since = std::max(at, m_currentSince[index]);
            require(m_fleet.now - since < propagationLimit || std::min(hostsRevision, evacuatedRevision) >= number,
                self.settings.id + " uses revisions that were replaced more than 5 s ago");
        }
        checkColdLimit(send.server);
    }

    /// \return the active revision, or 0 if the node has none
    [[nodiscard]] static state::revision activeRevision(const node& self, const state::value_key& key)
    {
        const auto found = self.values.find(key);
        return found == self.values.end() ? 0 : found->second.active.number;
    }

    /// Whether these revisions of the host list and of the evacuated data centres allow requests to a server.
    [[nodiscard]] bool mayReceiveRequests(
        const state::host_id& server, state::revision hosts, state::revision evacuated) const
    {
        if (hosts == 0)
            return false;
        const auto& listed = m_fleet.platform.hosts.at(hosts - 1);
        const auto found
            = std::find_if(listed.begin(), listed.end(), [&](const auto& host) { return host.id == server; });
        if (found == listed.end() || found->listing != state::host_listing::live)
            return false;
        return evacuated == 0
            || std::count(m_fleet.platform.evacuated[evacuated - 1].begin(),
                   m_fleet.platform.evacuated[evacuated - 1].end(), found->dataCentre)
            == 0;
    }

    /// Checks that the requests that were sent to a cold server stay within its limit. While the nodes may be
    /// partitioned, each partition may use the limit once, and each node may be a partition of its own.
    void checkColdLimit(const state::host_id& server)
    {
        std::uint32_t inFlight = 0;
        std::uint32_t limit = 0;
        for (const auto& process : m_fleet.processes) {
            for (const auto& [id, attempt] : process.attempts) {
                if (attempt.send.server != server || attempt.stage == attempt_stage::ended || attempt.coldLimit == 0)
                    continue;
                ++inFlight;
                limit = std::max(limit, attempt.coldLimit);
            }
        }
        const auto partitions = m_fleet.now - m_fleet.lastFault > recoveryTime ? 1 : m_fleet.processes.size();
        require(inFlight <= limit * partitions,
            server + " is cold and has " + std::to_string(inFlight) + " requests in flight");
    }

    /// Checks the probe budget: two probes per second for each server, and one extra probe for each node as a burst.
    void checkProbe(const probe_server& probe)
    {
        auto& window = m_probes[probe.server];
        window.push_back(m_fleet.now);
        while (m_fleet.now - window.front() >= 1s)
            window.pop_front();
        require(window.size() <= 2 + m_fleet.processes.size(),
            probe.server + " received more probes in a second than the budget allows");
    }

    const fake_fleet& m_fleet;
    std::map<request_key, request_record> m_requests;
    std::map<state::host_id, std::deque<state::time_point>> m_probes;
    std::map<std::tuple<std::size_t, std::uint64_t, state::value_key>, state::revision> m_revisions;
    /// Since when each node has been running and able to read current values from the platform.
    std::vector<state::time_point> m_currentSince;
    std::vector<std::pair<state::revision, state::time_point>> m_publishedAt; ///< when each revision was published
};

} // namespace acaciaslip::coordination
