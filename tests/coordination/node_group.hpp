#pragma once

#include "coordination/node.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace acaciaslip::coordination {

/// Several nodes in one process under one virtual time; their datagrams wait in one list.
class node_group {
public:
    using effect_sink = std::function<void(std::size_t, const effect&)>;

    struct member {
        node self;
        random_generator random;
        state::fleet_settings published; ///< what this node's next read of the platform gives
        bool paused = false;
        std::vector<peer_message_received> buffered; ///< came in while it was paused
    };

    state::duration delay = std::chrono::milliseconds { 1 };
    state::time_point now { std::chrono::seconds { 100 } };
    std::function<bool(std::size_t, std::size_t)> isCut = [](std::size_t, std::size_t) { return false; };
    std::function<void(std::size_t, std::size_t)> onDelivery = [](std::size_t, std::size_t) {};
    effect_sink onEffect = [](std::size_t, const effect&) {};

    static state::host_record entryHost(std::size_t index)
    {
        state::host_record host;
        host.id = "entry-" + std::to_string(index);
        host.dataCentre = "dc-" + std::to_string(index % 3);
        host.kind = state::host_kind::entry;
        host.peerAddress = addressOf(index);
        return host;
    }

    static state::host_record serverHost(std::size_t index, const std::string& service, std::size_t dataCentre)
    {
        state::host_record host;
        host.id = service + "-" + std::to_string(index);
        host.address = "10.0.0." + std::to_string(index) + ":80";
        host.dataCentre = "dc-" + std::to_string(dataCentre);
        host.service = { "team", service };
        return host;
    }

    static state::service_settings service(const std::string& name)
    {
        state::service_settings settings;
        settings.name = { "team", name };
        settings.pathPrefix = "/" + name;
        return settings;
    }

    std::size_t add(const state::fleet_settings& published)
    {
        m_members.push_back(std::make_unique<member>());
        start(m_members.size() - 1, published);
        return m_members.size() - 1;
    }

    /// Replaces a node by one that knows nothing.
    void start(std::size_t index, const state::fleet_settings& published)
    {
        auto& started = *m_members[index];
        state::node_settings settings;
        settings.id = entryHost(index).id;
        settings.dataCentre = entryHost(index).dataCentre;
        settings.peers = addressOf(index);
        auto* startedPublished = &started.published;
        started.self = makeNode(settings, ++m_incarnation,
            [startedPublished](const auto&) { return absl::StatusOr<state::fleet_settings>(*startedPublished); });
        started.random = random_generator { m_incarnation };
        started.paused = false;
        started.buffered.clear();
        publishTo(index, published);
    }

    void publish(const state::fleet_settings& published)
    {
        for (std::size_t index = 0; index < size(); ++index)
            publishTo(index, published);
    }

    void publishTo(std::size_t index, const state::fleet_settings& published)
    {
        m_members[index]->published = published;
        value_received received;
        received.key = "acaciaslip/hosts";
        received.number = ++m_revision;
        received.askedAt = now;
        give(index, received);
    }

    void give(std::size_t index, const event& happened)
    {
        effect_list effects;
        auto& taker = *m_members[index];
        handle(taker.self, happened, now, taker.random, effects);
        send(index, effects);
    }

    /// Posts datagrams and hands every other effect to the test.
    void send(std::size_t index, const effect_list& effects)
    {
        for (const auto& wanted : effects) {
            if (const auto* tell = std::get_if<tell_peer>(&wanted))
                m_posts.push_back({ now + delay, index, *tell });
            else
                onEffect(index, wanted);
        }
    }

    void resume(std::size_t index)
    {
        auto& woken = *m_members[index];
        woken.paused = false;
        for (const auto& received : std::exchange(woken.buffered, {}))
            give(index, received);
    }

    /// Moves time on by one tick and gives every running node what is due.
    void step()
    {
        now += std::chrono::milliseconds { 10 };
        deliver();
        for (std::size_t index = 0; index < size(); ++index) {
            if (!m_members[index]->paused)
                give(index, tick {});
        }
    }

    void run(
        state::duration span, const std::function<void()>& afterStep = [] {})
    {
        for (const auto end = now + span; now < end;) {
            step();
            afterStep();
        }
    }

    [[nodiscard]] std::size_t size() const { return m_members.size(); }
    [[nodiscard]] member& at(std::size_t index) { return *m_members[index]; }
    [[nodiscard]] state::server_record& server(std::size_t index, const std::string& id)
    {
        auto& fleet = m_members[index]->self.fleet;
        return fleet.servers[fleet.serverIndexes.at(id)];
    }

private:
    struct post {
        state::time_point at;
        std::size_t from;
        tell_peer tell;
    };

    static std::string addressOf(std::size_t index) { return "10.0.1." + std::to_string(index) + ":7400"; }

    void deliver()
    {
        while (!m_posts.empty() && m_posts.front().at <= now) {
            const auto posted = std::move(m_posts.front());
            m_posts.pop_front();
            for (std::size_t index = 0; index < size(); ++index) {
                if (addressOf(index) == posted.tell.address && !isCut(posted.from, index))
                    receive(posted, index);
            }
        }
    }

    void receive(const post& posted, std::size_t index)
    {
        const peer_message_received received { addressOf(posted.from), posted.tell.message };
        if (m_members[index]->paused)
            return m_members[index]->buffered.push_back(received);
        onDelivery(posted.from, index);
        give(index, received);
    }

    std::vector<std::unique_ptr<member>> m_members;
    std::deque<post> m_posts;
    std::uint64_t m_incarnation = 0;
    state::revision m_revision = 0;
};

} // namespace acaciaslip::coordination
