#pragma once

#include "coordination/property_fakes.hpp"

#include <algorithm>
#include <deque>

namespace acaciaslip::coordination {

/// Keeps what was seen, and notes each promise that an event broke.
class promise_checks {
public:
    explicit promise_checks(const fake_fleet& fleet)
        : m_fleet(fleet)
    {
    }

    void noteArrival(const request_key& key, state::time_point deadline, bool idempotent)
    {
        m_requests[key] = { deadline, idempotent, false, false, 0 };
    }

    /// Its caller or its node is gone.
    void noteGone(const request_key& key) { m_requests[key].ended = true; }

    void noteReplaced(std::size_t index)
    {
        for (auto& [key, request] : m_requests)
            request.ended |= key.node == index;
    }

    void noteRun(const request_key& key)
    {
        auto& request = m_requests[key];
        promise(++request.runs == 1 || request.idempotent, key, "ran twice and is not idempotent");
        promise(!request.saidNotRun, key, "ran after its caller heard not_run");
    }

    void noteEffect(std::size_t index, const effect& wanted)
    {
        const auto keyOf = [&](state::request_id id) {
            return request_key { index, m_fleet.processes[index].incarnation, id };
        };
        if (const auto* answer = std::get_if<answer_caller>(&wanted)) {
            const auto key = keyOf(answer->id);
            noteEnd(key);
            promise(static_cast<const fake_payload&>(*answer->answer).of == key, key, "got another's answer");
            promise(m_requests[key].runs > 0, key, "was answered and never ran");
        } else if (const auto* refusal = std::get_if<refuse_caller>(&wanted)) {
            const auto key = keyOf(refusal->id);
            noteEnd(key);
            m_requests[key].saidNotRun = refusal->outcome == state::verdict::not_run;
            promise(!m_requests[key].saidNotRun || m_requests[key].runs == 0, key, "was said not_run and had run");
        } else if (const auto* send = std::get_if<send_attempt>(&wanted)) {
            checkSend(index, *send);
        } else if (const auto* probe = std::get_if<probe_server>(&wanted)) {
            checkProbe(*probe);
        } else if (const auto* cancelled = std::get_if<cancel_attempt>(&wanted)) {
            promise(m_fleet.processes[index].attempts.contains(cancelled->id), "an unknown attempt was cancelled");
        }
    }

    /// After every event of a node.
    void checkNode(std::size_t index)
    {
        const auto& process = m_fleet.processes[index];
        for (const auto& [key, record] : process.self.values) {
            auto& seen = m_revisions[{ index, process.incarnation, key }];
            promise(record.inForce.number >= seen, key + " fell back");
            seen = record.inForce.number;
        }
        std::map<state::host_id, std::uint32_t> open;
        for (const auto& [id, attempt] : process.self.requests.attempts)
            ++open[process.self.fleet.servers[attempt.server].id];
        for (const auto& server : process.self.fleet.servers)
            promise(server.ownInFlight == open[server.id], server.id + " has a wrong in-flight count");
        promise(!process.stopped || process.self.requests.requests.empty(), "a planned stop cut a request");
    }

    /// After every step: what is bounded in time.
    void checkStep()
    {
        if (m_published.empty() || m_published.back().first != m_fleet.platform.hosts.size())
            m_published.emplace_back(m_fleet.platform.hosts.size(), m_fleet.now);
        m_inTouch.resize(m_fleet.processes.size());
        for (std::size_t index = 0; index < m_inTouch.size(); ++index) {
            if (m_fleet.isPaused(index) || m_fleet.platform.down || m_fleet.platform.stale)
                m_inTouch[index] = m_fleet.now;
        }
        std::erase_if(m_requests, [&](const auto& entry) {
            const auto& [key, request] = entry;
            const auto bound = std::max(request.deadline, m_fleet.processes[key.node].pausedUntil) + endBound;
            promise(request.ended || m_fleet.now < bound, key, "has no end past its deadline");
            return request.ended && m_fleet.now > request.deadline + 10s;
        });
    }

    /// After a quiet time.
    void checkQuiet()
    {
        for (const auto& process : m_fleet.processes) {
            if (process.stopped)
                continue;
            promise(process.self.requests.attempts.empty(), process.self.settings.id + " waits for lost attempts");
        }
    }

    /// After a quiet time: whether every node has the newest revisions.
    void checkSpread()
    {
        for (const auto& process : m_fleet.processes) {
            for (const auto* key : { "acaciaslip/hosts", "acaciaslip/data_centres" })
                promise(process.stopped || heldRevision(process.self, key) == m_fleet.platform.hosts.size(),
                    process.self.settings.id + " has an old " + key);
        }
    }

    std::vector<std::string> broken;

private:
    static constexpr state::duration endBound = 100ms; ///< past the deadline, or past a late wake
    static constexpr state::duration spreadBound = 5s; ///< for a change to reach who can reach the platform
    static constexpr state::duration settleTime = 7s; ///< after a fault, for permits to have one holder again

    struct seen_request {
        state::time_point deadline;
        bool idempotent = false;
        bool ended = false;
        bool saidNotRun = false;
        int runs = 0;
    };

    void promise(bool kept, const std::string& what)
    {
        if (!kept)
            broken.push_back(std::to_string((m_fleet.now - state::time_point { 1h }) / 1us) + " us: " + what);
    }

    void promise(bool kept, const request_key& key, const std::string& what)
    {
        if (!kept)
            promise(false, std::to_string(static_cast<std::uint64_t>(key.id)) + "@" + std::to_string(key.node) + what);
    }

    void noteEnd(const request_key& key)
    {
        promise(m_requests.contains(key) && !m_requests[key].ended, key, "ended twice, or was never asked");
        m_requests[key].ended = true;
    }

    void checkSend(std::size_t index, const send_attempt& send)
    {
        const auto& self = m_fleet.processes[index].self;
        const auto key = static_cast<const fake_payload&>(*send.body).of;
        promise(!m_requests[key].ended && m_fleet.now < send.deadline, key, "was sent after its end");
        const auto held = heldRevision(self, "acaciaslip/hosts");
        const auto heldOut = heldRevision(self, "acaciaslip/data_centres");
        promise(mayTakeWork(send.server, held, heldOut), "work went to " + send.server + " against the revisions held");
        for (const auto& [number, at] : m_published) {
            const auto since = std::max(at, m_inTouch[index]);
            promise(m_fleet.now - since < spreadBound || std::min(held, heldOut) >= number,
                self.settings.id + " acts on revisions replaced some seconds ago");
        }
        checkColdLimit(send.server);
    }

    /// \return 0 when the node has none
    [[nodiscard]] static state::revision heldRevision(const node& self, const state::value_key& key)
    {
        const auto held = self.values.find(key);
        return held == self.values.end() ? 0 : held->second.inForce.number;
    }

    [[nodiscard]] bool mayTakeWork(const state::host_id& server, state::revision hosts, state::revision out) const
    {
        if (hosts == 0)
            return false;
        const auto& listed = m_fleet.platform.hosts.at(hosts - 1);
        const auto found
            = std::find_if(listed.begin(), listed.end(), [&](const auto& host) { return host.id == server; });
        if (found == listed.end() || found->listing != state::host_listing::live)
            return false;
        return out == 0
            || std::count(m_fleet.platform.out[out - 1].begin(), m_fleet.platform.out[out - 1].end(), found->dataCentre)
            == 0;
    }

    /// Work sent to a server held for cold stays within its limit; once a side, while there may be sides.
    void checkColdLimit(const state::host_id& server)
    {
        std::uint32_t decided = 0;
        std::uint32_t limit = 0;
        for (const auto& process : m_fleet.processes) {
            for (const auto& [id, attempt] : process.attempts) {
                if (attempt.send.server != server || attempt.stage == attempt_stage::ended || attempt.coldLimit == 0)
                    continue;
                ++decided;
                limit = std::max(limit, attempt.coldLimit);
            }
        }
        const auto sides = m_fleet.now - m_fleet.lastFault > settleTime ? 1 : m_fleet.processes.size();
        promise(decided <= limit * sides, server + " is cold and has " + std::to_string(decided) + " requests");
    }

    /// Budget of two a second, and one burst for each node.
    void checkProbe(const probe_server& probe)
    {
        auto& window = m_probes[probe.server];
        window.push_back(m_fleet.now);
        while (m_fleet.now - window.front() >= 1s)
            window.pop_front();
        promise(window.size() <= 2 + m_fleet.processes.size(), probe.server + " got too many probes in a second");
    }

    const fake_fleet& m_fleet;
    std::map<request_key, seen_request> m_requests;
    std::map<state::host_id, std::deque<state::time_point>> m_probes;
    std::map<std::tuple<std::size_t, std::uint64_t, state::value_key>, state::revision> m_revisions;
    std::vector<state::time_point> m_inTouch; ///< since when each node is awake and reads a fresh platform
    std::vector<std::pair<state::revision, state::time_point>> m_published;
};

} // namespace acaciaslip::coordination
