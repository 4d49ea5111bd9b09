#pragma once

#include "coordination/gateway/fleet_merge.hpp"
#include "coordination/gateway/node.hpp"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace acaciaslip::coordination::gateway {

using namespace std::chrono_literals;

/// Several nodes that exchange heartbeats and fetches through a network that the test can cut, and a store that it can
/// take away.
class host_group {
public:
    /// \param perDataCentre hosts in each of three data centres
    explicit host_group(std::size_t perDataCentre)
    {
        for (std::size_t index = 0; index < perDataCentre * 3; ++index)
            add(index, std::string(1, static_cast<char>('a' + index % 3)));
    }

    void add(std::size_t index, const std::string& dataCentre)
    {
        node_settings settings;
        settings.ip = ipOf(index);
        settings.id = settings.ip;
        settings.dataCentre = dataCentre;
        settings.seeds = { ipOf(0), ipOf(1), ipOf(2) };
        nodes[settings.ip] = makeNode(settings, now);
        m_random.emplace(settings.ip, random_generator { index + 1 });
    }

    static std::string ipOf(std::size_t index)
    {
        return "10.0." + std::to_string(index / 100) + "." + std::to_string(100 + index % 100);
    }

    /// Changes a server's entry in the store.
    void change(const std::string& id, bool present)
    {
        store.asOf += 1;
        std::optional<state::gateway::server_entry> entry;
        if (present) {
            entry.emplace();
            entry->id = id;
            entry->service = "a";
            entry->address = "10.9.0.1:80";
            entry->dataCentre = "a";
        }
        store.servers[id] = { store.asOf, entry };
    }

    void run(state::duration span)
    {
        for (const auto end = now + span; now < end; now += 10ms)
            step();
    }

    /// Begins a planned stop of a host.
    void stop(std::size_t index) { happen(ipOf(index), stop_requested {}); }

    bool isCut(const std::string& from, const std::string& to) const
    {
        return cutHosts.contains(from) || cutHosts.contains(to);
    }

    std::size_t countFollowers() const
    {
        std::size_t followers = 0;
        for (const auto& [ip, node] : nodes)
            followers += node.duty.follows ? 1 : 0;
        return followers;
    }

    std::map<std::string, gateway_node> nodes;
    state::gateway::published_fleet store;
    std::set<std::string> storeTurnsAway; ///< hosts that the store does not answer
    std::set<std::string> storeSilent; ///< hosts that the store leaves without an answer, which they do not notice yet
    std::set<std::string> cutHosts; ///< hosts that no other host reaches
    bool storeDown = false;
    state::time_point now { 1h };

private:
    void step()
    {
        for (auto& [ip, node] : nodes) {
            if (nextWakeUp(node) && *nextWakeUp(node) <= now)
                happen(ip, timer_expired {});
            readStore(ip, node);
        }
        auto inbox = std::move(m_inbox);
        m_inbox.clear();
        for (const auto& deliver : inbox)
            deliver();
    }

    void readStore(const std::string& ip, gateway_node& node)
    {
        if (!node.duty.follows || storeSilent.contains(ip))
            return;
        const bool away = storeDown || storeTurnsAway.contains(ip);
        if (away && !node.storeLostAt)
            happen(ip, store_lost { "test" });
        if (!away && node.storeLostAt)
            happen(ip, store_regained {});
        if (!away && node.published.asOf < store.asOf)
            happen(ip, fleet_published { makeDelta(store, node.published.asOf), fleet_source::store });
    }

    void happen(const std::string& ip, const event& happened)
    {
        auto& node = nodes.at(ip);
        effect_list effects;
        handle(node, happened, now, m_random.at(ip), effects);
        for (const auto& wanted : effects) {
            if (const auto* told = std::get_if<tell_peer>(&wanted))
                deliver(ip, told->ip, told->message);
            else if (const auto* fetched = std::get_if<fetch_fleet>(&wanted))
                serveFetch(ip, *fetched);
        }
    }

    void deliver(const std::string& from, const std::string& to, const state::gateway::peer_heartbeat& message)
    {
        if (isCut(from, to) || !nodes.contains(to))
            return;
        m_inbox.push_back([this, from, to, message] {
            if (nodes.contains(to))
                happen(to, peer_heard { from, message });
        });
    }

    void serveFetch(const std::string& ip, const fetch_fleet& wanted)
    {
        if (isCut(ip, wanted.ip) || !nodes.contains(wanted.ip))
            return;
        m_inbox.push_back([this, ip, wanted] {
            if (!nodes.contains(wanted.ip) || !nodes.contains(ip))
                return;
            const auto delta = makeDelta(nodes.at(wanted.ip).published, wanted.after);
            happen(ip, fleet_published { delta, fleet_source::peer });
            happen(ip, fetch_ended {});
        });
    }

    std::map<std::string, random_generator> m_random;
    std::vector<std::function<void()>> m_inbox;
};

} // namespace acaciaslip::coordination::gateway
