#pragma once

#include "coordination/node.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace acaciaslip::coordination {

/// Several nodes in one process on one virtual clock, with a simulated network.
class simulated_nodes {
public:
    using effect_sink = std::function<void(std::size_t, const effect&)>;

    struct member {
        node self;
        random_generator random;
        state::fleet_settings published; ///< settings that this node's next read of the platform returns
        bool paused = false;
        std::vector<peer_message_received> buffered; ///< received while it was paused, delivered when it resumes
    };

    /// Delivery time of datagrams.
    state::duration messageDelay = std::chrono::milliseconds { 1 };
    state::time_point now { std::chrono::seconds { 100 } };
    /// Whether datagrams from the first node to the second are lost.
    std::function<bool(std::size_t, std::size_t)> isPartitioned = [](std::size_t, std::size_t) { return false; };
    /// Called with sender and receiver before a datagram is delivered.
    std::function<void(std::size_t, std::size_t)> onDelivery = [](std::size_t, std::size_t) {};
    /// Called for each effect that is not a datagram.
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

    /// Adds a newly started node.
    /// \return its index
    std::size_t add(const state::fleet_settings& published)
    {
        m_members.push_back(std::make_unique<member>());
        start(m_members.size() - 1, published);
        return m_members.size() - 1;
    }

    /// Restarts a node: replaces it by one with empty state and a new incarnation.
    void start(std::size_t index, const state::fleet_settings& published)
    {
        auto& started = *m_members[index];
        state::node_settings settings;
        settings.id = entryHost(index).id;
        settings.dataCentre = entryHost(index).dataCentre;
        settings.peerAddress = addressOf(index);
        auto* startedPublished = &started.published;
        started.self = makeNode(settings, ++m_incarnation,
            [startedPublished](const auto&) { return absl::StatusOr<state::fleet_settings>(*startedPublished); });
        started.random = random_generator { m_incarnation };
        started.paused = false;
        started.buffered.clear();
        publishToNode(index, published);
    }

    /// Publishes settings to all nodes.
    void publish(const state::fleet_settings& published)
    {
        for (std::size_t index = 0; index < size(); ++index)
            publishToNode(index, published);
    }

    /// Publishes settings to one node only.
    void publishToNode(std::size_t index, const state::fleet_settings& published)
    {
        m_members[index]->published = published;
        value_received received;
        received.key = "acaciaslip/hosts";
        received.number = ++m_revision;
        received.requestedAt = now;
        handleEvent(index, received);
    }

    /// Has a node handle an event and carries out the effects.
    void handleEvent(std::size_t index, const event& received)
    {
        effect_list effects;
        auto& target = *m_members[index];
        handle(target.self, received, now, target.random, effects);
        send(index, effects);
    }

    /// Schedules the delivery of datagrams and passes all other effects to `onEffect`.
    void send(std::size_t index, const effect_list& effects)
    {
        for (const auto& requested : effects) {
            if (const auto* sent = std::get_if<send_peer_message>(&requested))
                m_datagrams.push_back({ now + messageDelay, index, *sent });
            else
                onEffect(index, requested);
        }
    }

    /// Ends the pause of a node and delivers what it has received meanwhile.
    void resume(std::size_t index)
    {
        auto& resumed = *m_members[index];
        resumed.paused = false;
        for (const auto& received : std::exchange(resumed.buffered, {}))
            handleEvent(index, received);
    }

    /// Advances the virtual time by one tick, delivers due datagrams, and sends a tick to every node that is not
    /// paused.
    void step()
    {
        now += std::chrono::milliseconds { 10 };
        deliver();
        for (std::size_t index = 0; index < size(); ++index) {
            if (!m_members[index]->paused)
                handleEvent(index, tick {});
        }
    }

    /// Advances the virtual time.
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
    struct datagram {
        state::time_point at;
        std::size_t from;
        send_peer_message sent;
    };

    static std::string addressOf(std::size_t index) { return "10.0.1." + std::to_string(index) + ":7400"; }

    void deliver()
    {
        while (!m_datagrams.empty() && m_datagrams.front().at <= now) {
            const auto delivered = std::move(m_datagrams.front());
            m_datagrams.pop_front();
            for (std::size_t index = 0; index < size(); ++index) {
                if (addressOf(index) == delivered.sent.address && !isPartitioned(delivered.from, index))
                    receive(delivered, index);
            }
        }
    }

    void receive(const datagram& delivered, std::size_t index)
    {
        const peer_message_received received { addressOf(delivered.from), delivered.sent.message };
        if (m_members[index]->paused)
            return m_members[index]->buffered.push_back(received);
        onDelivery(delivered.from, index);
        handleEvent(index, received);
    }

    std::vector<std::unique_ptr<member>> m_members;
    std::deque<datagram> m_datagrams;
    std::uint64_t m_incarnation = 0;
    state::revision m_revision = 0;
};

} // namespace acaciaslip::coordination
