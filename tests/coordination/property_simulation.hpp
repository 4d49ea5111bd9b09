#pragma once

#include "coordination/property_checks.hpp"

#include <functional>
#include <memory>
#include <set>

namespace acaciaslip::coordination {

/// Simulation of some nodes, servers and a platform with random faults. The seed determines the order of all events.
class property_simulation : public fake_fleet {
public:
    explicit property_simulation(std::uint64_t seed)
        : m_random(seed)
    {
        processes.resize(2 + m_random(4));
        for (std::size_t index = 0; index < processes.size(); ++index)
            m_hosts.push_back({ "entry-" + std::to_string(index), "", index % 2 ? "dc-b" : "dc-a",
                state::host_kind::entry, {}, state::host_listing::live, std::to_string(index) });
        for (std::size_t index = 0; index < 4 + m_random(4); ++index) {
            const std::string id = "s" + std::to_string(index);
            servers[id] = {};
            m_hosts.push_back({ id, id + ":1", index / 2 % 2 ? "dc-b" : "dc-a", state::host_kind::server,
                makeServices()[index % 2].name, state::host_listing::live, "" });
        }
        publish();
        for (std::size_t index = 0; index < processes.size(); ++index)
            startProcess(index);
    }

    /// Advances the virtual time by 20 ms: runs the scheduled actions, changes faults, starts requests, and sends
    /// ticks.
    ///
    /// \param faults whether faults are injected and requests started
    void step(bool faults)
    {
        const auto end = now + 20ms;
        while (!m_scheduled.empty() && m_scheduled.begin()->first.first <= end) {
            const auto first = m_scheduled.extract(m_scheduled.begin());
            now = first.key().first;
            first.mapped()();
        }
        now = end;
        if (faults)
            injectFaults();
        for (std::size_t index = 0; index < processes.size(); ++index) {
            if (isPaused(index))
                continue;
            if (faults && !processes[index].stopped && chance(0.4))
                startRequest(index);
            deliver(index, tick {});
        }
        checks.checkStep();
    }

    /// Ends all faults except pauses, which end by themselves.
    void endFaults()
    {
        m_partitioned.clear();
        platform.down = platform.stale = false;
    }

    invariant_checks checks { *this };

private:
    static std::vector<state::service_settings> makeServices()
    {
        state::service_settings booking;
        booking.name = { "team", "bookings" };
        booking.pathPrefix = "/bookings";
        booking.slots = 2;
        booking.idempotent = state::idempotency::never;
        auto lookup = booking;
        lookup.name.name = "lookups";
        lookup.pathPrefix = "/lookups";
        lookup.idempotent = state::idempotency::always;
        lookup.hedge = true;
        return { booking, lookup };
    }

    [[nodiscard]] bool chance(double probability) { return m_random(1'000'000) < probability * 1'000'000; }

    void startProcess(std::size_t index)
    {
        state::node_settings settings;
        settings.id = m_hosts[index].id;
        settings.dataCentre = m_hosts[index].dataCentre;
        settings.peerAddress = m_hosts[index].peerAddress;
        settings.platformAddresses = { "platform" };
        settings.lameDuck = 500ms;
        const auto read = [this](const std::map<state::value_key, std::string>& bodies) {
            const auto number = [&](const char* key) { return bodies.contains(key) ? std::stoul(bodies.at(key)) : 0; };
            state::fleet_settings published;
            if (number("acaciaslip/teams/team") > 0)
                published.services = makeServices();
            if (const auto hosts = number("acaciaslip/hosts"))
                published.hosts = platform.hosts[hosts - 1];
            if (const auto evacuated = number("acaciaslip/data_centres"))
                published.evacuatedDataCentres = platform.evacuated[evacuated - 1];
            if (const auto lists = number("acaciaslip/index"))
                published.indexedRevisions = { { "acaciaslip/hosts", lists }, { "acaciaslip/data_centres", lists },
                    { "acaciaslip/templates", 1 }, { "acaciaslip/teams/team", 1 } };
            return absl::StatusOr<state::fleet_settings>(published);
        };
        checks.recordRestart(index);
        const auto incarnation = processes[index].incarnation + 1;
        processes[index] = { makeNode(settings, incarnation, read), incarnation, {}, false, {} };
        processes[index].self.lastEventAt = now;
    }

    void publish()
    {
        platform.hosts.push_back(m_hosts);
        platform.evacuated.push_back(m_evacuated);
    }

    void schedule(state::duration least, state::duration spread, std::function<void()> action)
    {
        const auto microseconds = m_random(static_cast<std::uint32_t>(spread / 1us) + 1);
        m_scheduled.emplace(
            std::pair { now + least + std::chrono::microseconds { microseconds }, m_nextNumber++ }, std::move(action));
    }

    /// Schedules an action of a process. It is dropped if the process is replaced before; if the process is paused, it
    /// is delayed until the end of the pause.
    void scheduleOnProcess(
        std::size_t index, state::duration least, state::duration spread, const std::function<void()>& action)
    {
        schedule(least, spread, [=, this, incarnation = processes[index].incarnation] {
            if (processes[index].incarnation == incarnation && isPaused(index))
                scheduleOnProcess(index, processes[index].pausedUntil - now, 0ms, action);
            else if (processes[index].incarnation == incarnation)
                action();
        });
    }

    void scheduleEvent(std::size_t index, state::duration spread, event received)
    {
        scheduleOnProcess(index, 0ms, spread, [=, this, kept = std::move(received)] { deliver(index, kept); });
    }

    void deliver(std::size_t index, const event& received)
    {
        if (processes[index].stopped)
            return;
        effect_list effects;
        handle(processes[index].self, received, now, m_random, effects);
        for (const auto& requested : effects) {
            std::visit([&](const auto& one) { executeEffect(index, one); }, requested);
            checks.recordEffect(index, requested);
        }
        checks.checkNode(index);
    }

    template <typename Effect> void executeEffect(std::size_t /*index*/, const Effect& /*ignored*/) { }

    void executeEffect(std::size_t index, const node_stopped& /*stopped*/) { processes[index].stopped = true; }

    void executeEffect(std::size_t index, const send_attempt& send)
    {
        const auto& self = processes[index].self;
        const auto& server = self.fleet.servers[self.fleet.serverIndexes.at(send.server)];
        const bool cold = server.condition == state::server_condition::cold;
        processes[index].attempts[send.id] = { static_cast<const fake_payload&>(*send.body).requestKey, send,
            attempt_stage::queued, cold ? server.limit : 0 };
        scheduleOnProcess(index, 0ms, chance(0.02) ? 400ms : 2ms, [=, this] { write(index, send.id); });
    }

    void write(std::size_t index, state::attempt_id id)
    {
        auto& attempt = processes[index].attempts[id];
        if (attempt.stage != attempt_stage::queued)
            return;
        if (!mayStartSending(attempt.send, now))
            return end(index, id, state::attempt_outcome::expired);
        if (servers[attempt.send.server].down)
            return end(index, id, state::attempt_outcome::connect_failed);
        if (chance(0.01))
            return end(index, id, state::attempt_outcome::no_connection);
        attempt.stage = attempt_stage::written;
        schedule(0ms, 3ms,
            [=, this, sent = attempt, incarnation = processes[index].incarnation] { run(index, incarnation, sent); });
        scheduleOnProcess(
            index, attempt.send.deadline - now, 0ms, [=, this] { end(index, id, state::attempt_outcome::timed_out); });
    }

    /// Executes a request on its server, even if the process that has sent it no longer exists.
    void run(std::size_t index, std::uint64_t incarnation, const fake_attempt& sent)
    {
        const auto finish = [=, this](state::attempt_outcome outcome) {
            if (processes[index].incarnation == incarnation)
                end(index, sent.send.id, outcome);
        };
        auto& server = servers[sent.send.server];
        if (server.down)
            return finish(state::attempt_outcome::cut);
        if (server.running >= server.capacity)
            return finish(chance(0.1) ? state::attempt_outcome::cut : state::attempt_outcome::shed);
        ++server.running;
        checks.recordExecution(sent.requestKey);
        schedule(1ms, chance(0.03) ? 2000ms : 30ms, [=, this, &server, boot = server.boot] {
            if (server.boot == boot)
                --server.running;
            if (server.boot != boot || chance(0.03))
                return finish(chance(0.5) ? state::attempt_outcome::cut : state::attempt_outcome::mismatched);
            finish(state::attempt_outcome::answered);
        });
    }

    void end(std::size_t index, state::attempt_id id, state::attempt_outcome outcome)
    {
        auto& attempt = processes[index].attempts[id];
        if (std::exchange(attempt.stage, attempt_stage::ended) != attempt_stage::ended)
            scheduleEvent(
                index, 2ms, attempt_finished { id, outcome, 0, std::make_shared<fake_payload>(attempt.requestKey) });
    }

    void executeEffect(std::size_t index, const cancel_attempt& cancelled)
    {
        const bool written = processes[index].attempts[cancelled.id].stage == attempt_stage::written;
        end(index, cancelled.id, written ? state::attempt_outcome::cancelled : state::attempt_outcome::expired);
    }

    void executeEffect(std::size_t index, const probe_server& probe)
    {
        const auto& server = servers[probe.server];
        probe_finished finished { probe.server, !server.down && !chance(0.05), {}, {} };
        if (finished.answered && probe.kind == probe_kind::health)
            finished.health = server.capacity < 2 ? reported_health::cold : reported_health::live;
        else if (finished.answered)
            finished.load = reported_load { m_random(4), 0, 2, server.boot };
        scheduleEvent(index, 50ms, finished);
    }

    void executeEffect(std::size_t index, const send_peer_message& sending)
    {
        const auto to = std::stoul(sending.address);
        const peer_message_received received { std::to_string(index), sending.message };
        if (m_partitioned.contains({ index, to }) || chance(0.05))
            return;
        scheduleEvent(to, chance(0.02) ? 1500ms : 5ms, received);
        if (chance(0.05))
            scheduleEvent(to, 1500ms, received);
    }

    void executeEffect(std::size_t index, const fetch_value& fetch)
    {
        const value_read_failed failed { fetch.key, fetch.source, fetch.address, fetch.requestedAt };
        if (fetch.source == state::value_source::platform) {
            const bool moves = fetch.key != "acaciaslip/templates" && fetch.key != "acaciaslip/teams/team";
            const auto newest = moves ? platform.hosts.size() - (platform.stale && platform.hosts.size() > 1) : 1;
            const auto number = newest > fetch.after ? newest : 0;
            const value_received received { fetch.key, number, number ? std::to_string(number) : "", fetch.source,
                fetch.address, fetch.requestedAt };
            return scheduleEvent(index, 100ms, platform.down ? event { failed } : event { received });
        }
        const auto token = m_nextNumber++;
        m_pendingReads[token] = [=, this, incarnation = processes[index].incarnation](const reply_with_value& served) {
            if (processes[index].incarnation == incarnation)
                scheduleEvent(index, 5ms,
                    value_received {
                        served.key, served.number, served.body, fetch.source, fetch.address, fetch.requestedAt });
        };
        scheduleOnProcess(index, 500ms, 0ms, [=, this] {
            if (m_pendingReads.erase(token) > 0)
                deliver(index, failed);
        });
        const auto to = std::stoul(fetch.address);
        if (!m_partitioned.contains({ index, to }) && !m_partitioned.contains({ to, index }))
            scheduleEvent(to, 5ms, value_requested { token, fetch.key, fetch.after });
    }

    void executeEffect(std::size_t /*index*/, const reply_with_value& served)
    {
        if (const auto found = m_pendingReads.extract(served.replyToken))
            found.mapped()(served);
    }

    void startRequest(std::size_t index)
    {
        const request_key key { index, processes[index].incarnation, state::request_id { ++m_lastRequest } };
        const bool lookup = chance(0.5);
        const state::duration timeout = std::chrono::milliseconds { 30 + m_random(chance(0.2) ? 1500 : 300) };
        checks.recordRequest(key, now + timeout, lookup);
        deliver(index,
            request_arrived { key.id, "host", lookup ? "/lookups/1" : "/bookings/1", lookup,
                chance(0.2) ? "key-" + std::to_string(m_random(3)) : "", timeout,
                std::make_shared<fake_payload>(key) });
        if (!chance(0.05))
            return;
        scheduleOnProcess(index, 0ms, 100ms, [=, this] {
            checks.recordDisconnect(key);
            deliver(index, caller_disconnected { key.id });
        });
    }

    void injectFaults()
    {
        if (m_nodeFaults)
            injectNodeFaults();
        auto& server = std::next(servers.begin(), m_random(static_cast<std::uint32_t>(servers.size())))->second;
        if (chance(0.005))
            server = { server.boot + "+", 1, 0, chance(0.5) }; // restarted: requests in flight are lost
        if (chance(0.005))
            server.capacity = 1; // becomes cold without notice
        if (chance(0.02))
            server = { server.boot, 2, server.running, false };
        platform.down = chance(platform.down ? 0.99 : 0.004);
        platform.stale = chance(platform.stale ? 0.99 : 0.004);
        if (chance(0.008))
            changePublishedLists();
    }

    void injectNodeFaults()
    {
        const auto size = static_cast<std::uint32_t>(processes.size());
        const std::size_t index = m_random(size);
        const std::size_t other = (index + 1 + m_random(size - 1)) % size;
        if (chance(0.01)) {
            m_partitioned.insert({ index, other });
            if (chance(0.7))
                m_partitioned.insert({ other, index });
        }
        if (chance(0.015))
            m_partitioned.clear();
        const bool paused = chance(0.004);
        const bool replaced = chance(0.003);
        const bool drained = chance(0.001) && !isPaused(index);
        if (paused || replaced || drained || !m_partitioned.empty())
            lastFault = now;
        if (paused)
            processes[index].pausedUntil = now + std::chrono::milliseconds { 100 + m_random(5000) };
        if (replaced)
            startProcess(index);
        if (drained)
            deliver(index, drain_requested {});
    }

    void changePublishedLists()
    {
        auto& host = m_hosts[m_random(static_cast<std::uint32_t>(m_hosts.size()))];
        const bool live = host.listing == state::host_listing::live;
        if (host.kind == state::host_kind::server && chance(0.5))
            host.listing = live ? state::host_listing::leaving : state::host_listing::live;
        else
            m_evacuated = m_evacuated.empty() ? std::vector<state::data_centre_id> { host.dataCentre }
                                              : std::vector<state::data_centre_id> {};
        publish();
    }

    random_generator m_random;
    bool m_nodeFaults = chance(0.6); ///< otherwise only messages, servers, lists and the platform fail
    std::map<std::pair<state::time_point, std::uint64_t>, std::function<void()>> m_scheduled;
    std::uint64_t m_nextNumber = 0;
    /// Messages from the first node to the second are lost.
    std::set<std::pair<std::size_t, std::size_t>> m_partitioned;
    std::map<std::uint64_t, std::function<void(const reply_with_value&)>> m_pendingReads;
    std::vector<state::host_record> m_hosts;
    std::vector<state::data_centre_id> m_evacuated;
    std::uint64_t m_lastRequest = 0;
};

} // namespace acaciaslip::coordination
