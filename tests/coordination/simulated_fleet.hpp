#pragma once

#include "coordination/membership.hpp"
#include "coordination/message_size.hpp"
#include "coordination/node.hpp"
#include "coordination/settings_distribution.hpp"
#include "coordination/value_keys.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace acaciaslip::coordination {

using namespace std::chrono_literals;

inline constexpr state::duration tickInterval = 10ms;
inline constexpr state::duration deliveryDelay = 1ms;

/// Reads published values in a simplified text format with these entries: index "KEY REVISION",
/// hosts "ID DATA_CENTRE ADDRESS entry|SERVICE", data_centres "DATA_CENTRE" (evacuated ones), templates "VERSION",
/// teams "SERVICE LOWEST HIGHEST" (range of compatible template versions). The body "bad" is invalid for every key.
/// \return the settings, or an error if a body is invalid or a team does not match the templates
inline absl::StatusOr<state::fleet_settings> readPlainSettings(const std::map<state::value_key, std::string>& bodies)
{
    state::fleet_settings settings;
    int version = 0;
    for (const auto& [key, body] : bodies) {
        if (body == "bad")
            return absl::InvalidArgumentError(key + " is bad");
        if (key == templatesKey)
            version = std::stoi(body);
    }
    for (const auto& [key, body] : bodies) {
        std::istringstream text(body);
        std::string first;
        while (text >> first) {
            if (key == indexKey) {
                text >> settings.indexedRevisions[first];
            } else if (key == dataCentresKey) {
                settings.evacuatedDataCentres.push_back(first);
            } else if (key == hostsKey) {
                state::host_record host;
                host.id = first;
                std::string kind;
                text >> host.dataCentre >> host.address >> kind;
                host.kind = kind == "entry" ? state::host_kind::entry : state::host_kind::server;
                host.service = { "team", kind };
                host.peerAddress = kind == "entry" ? host.address : "";
                settings.hosts.push_back(std::move(host));
            } else if (key != templatesKey) {
                int lowest = 0;
                int highest = 0;
                text >> lowest >> highest;
                if (version < lowest || version > highest)
                    return absl::InvalidArgumentError(
                        absl::StrCat(key, " is not compatible with templates version ", version));
                state::service_settings service;
                service.name = { "team", first };
                service.pathPrefix = "/" + first;
                settings.services.push_back(service);
            }
        }
    }
    return settings;
}

/// Simulated platform with published values. Tests can change the values and make the platform unavailable.
struct simulated_platform {
    struct value {
        state::revision number = 0;
        std::string body;
    };

    std::map<state::value_key, value> values;
    bool unavailable = false; ///< every read fails
    std::vector<state::time_point> calls; ///< when each read was requested

    /// Returns the largest number of calls in any second that starts within a time range.
    [[nodiscard]] std::size_t countPeakCalls(state::time_point from, state::time_point to) const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < calls.size(); ++last) {
            while (calls[last] - calls[first] >= 1s)
                ++first;
            if (calls[first] >= from && calls[last] < to)
                most = std::max(most, last - first + 1);
        }
        return most;
    }

    /// Returns the average number of calls per second in a time range.
    [[nodiscard]] double countPerSecond(state::time_point from, state::time_point to) const
    {
        const auto count = std::count_if(calls.begin(), calls.end(), [&](auto at) { return at >= from && at < to; });
        return static_cast<double>(count) / std::chrono::duration<double>(to - from).count();
    }
};

/// Several nodes on one virtual clock, with a simulated network and platform.
class simulated_fleet {
public:
    struct member {
        std::unique_ptr<node> self;
        random_generator random;
        bool paused = false;
        bool isolated = false; ///< partitioned from every other node
        bool platformUnreachable = false; ///< every read of the platform fails
        std::vector<effect> sentAttempts; ///< `send_attempt` effects of the node
    };

    explicit simulated_fleet(std::uint64_t seed = 1)
        : m_random(seed)
    {
    }

    /// Adds a newly started node, or restarts an existing one at the same address.
    member& start(const std::string& id, const std::string& dataCentre, const std::vector<std::string>& seeds = {})
    {
        state::node_settings settings;
        settings.id = id;
        settings.dataCentre = dataCentre;
        settings.peerAddress = addressOf(id);
        settings.platformAddresses = { "platform" };
        settings.seedPeers = seeds;
        auto& started = members[id];
        started.self = std::make_unique<node>(makeNode(settings, ++m_incarnation, readPlainSettings));
        started.random.seed(m_random());
        started.paused = false;
        return started;
    }

    static std::string addressOf(const std::string& id) { return "at-" + id; }

    node& operator[](const std::string& id) { return *members.at(id).self; }

    /// Publishes a revision of a value and answers the reads that wait for it.
    void publish(std::string_view key, state::revision number, const std::string& body)
    {
        platform.values[std::string(key)] = { number, body };
        std::erase_if(m_pendingWatches, [&](const pending_watch& pending) {
            if (pending.requested.key != key || pending.requested.after >= number)
                return false;
            answerRead(pending.reader, pending.requested, number, body);
            return true;
        });
    }

    /// Has a node handle an event and carries out the effects. For a paused node the event is kept until it resumes.
    void handle(const std::string& id, const event& received)
    {
        auto& target = members.at(id);
        if (target.paused) {
            m_pausedEvents[id].push_back(received);
            return;
        }
        effect_list effects;
        coordination::handle(*target.self, received, now, target.random, effects);
        for (auto& requested : effects)
            executeEffect(id, requested);
    }

    /// Advances the virtual time.
    void run(state::duration span)
    {
        const auto end = now + span;
        while (now < end) {
            now += deliveryDelay;
            deliverDue();
            expireWatches();
            tickNodes();
        }
    }

    /// Advances the virtual time until a condition holds.
    /// \return how long that took; nothing if the condition did not hold within `limit`
    std::optional<state::duration> runUntil(const std::function<bool()>& condition, state::duration limit)
    {
        const auto startedAt = now;
        while (now - startedAt < limit) {
            if (condition())
                return now - startedAt;
            run(deliveryDelay);
        }
        return std::nullopt;
    }

    void pause(const std::string& id) { members.at(id).paused = true; }

    /// Resumes a paused node, which then handles the events that have arrived in the meantime.
    void resume(const std::string& id)
    {
        members.at(id).paused = false;
        for (const auto& late : std::exchange(m_pausedEvents[id], {}))
            handle(id, late);
    }

    /// Whether every node has this revision as the active one.
    bool allNodesHave(const state::value_key& key, state::revision number)
    {
        return std::all_of(members.begin(), members.end(), [&](const auto& entry) {
            const auto& values = entry.second.self->values;
            const auto found = values.find(key);
            return found != values.end() && found->second.active.number == number;
        });
    }

    std::map<std::string, member> members;
    simulated_platform platform;
    state::time_point now { 100s };
    /// If set, drops the datagrams for which it returns true.
    std::function<bool(const std::string& from, const std::string& to)> dropsDatagram;

private:
    /// A long-polling read of the platform that has not been answered yet.
    struct pending_watch {
        std::string reader;
        fetch_value requested;
        state::time_point expiresAt;
    };

    /// A read from a peer that has not been answered yet.
    struct pending_read {
        std::string reader;
        fetch_value requested;
    };

    void deliverDue()
    {
        while (!m_events.empty() && m_events.begin()->first <= now) {
            const auto [id, received] = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            if (members.contains(id))
                handle(id, received);
        }
    }

    void tickNodes()
    {
        // Spreads the nodes' ticks over the tick interval, because clocks of real hosts are not in phase.
        const auto phase = static_cast<std::size_t>(now.time_since_epoch() / deliveryDelay) % 10;
        std::size_t index = 0;
        for (auto& [id, each] : members) {
            if (index++ % 10 == phase && !each.paused)
                handle(id, tick {});
        }
    }

    void expireWatches()
    {
        std::erase_if(m_pendingWatches, [&](const pending_watch& pending) {
            if (now < pending.expiresAt)
                return false;
            answerRead(pending.reader, pending.requested, 0, {});
            return true;
        });
    }

    void post(const std::string& id, const event& received)
    {
        m_events.emplace(now + deliveryDelay, std::pair(id, received));
    }

    void answerRead(
        const std::string& id, const fetch_value& requested, state::revision number, const std::string& body)
    {
        post(id,
            value_received { requested.key, number, body, requested.source, requested.address, requested.requestedAt });
    }

    void failRead(const std::string& id, const fetch_value& requested)
    {
        post(id, value_read_failed { requested.key, requested.source, requested.address, requested.requestedAt });
    }

    member* findByAddress(const std::string& address)
    {
        const auto found = members.find(address.substr(std::min<std::size_t>(3, address.size())));
        return found == members.end() ? nullptr : &found->second;
    }

    bool canReach(const std::string& id, const member* target)
    {
        return target != nullptr && !members.at(id).isolated && !target->isolated;
    }

    void executeEffect(const std::string& id, const effect& requested)
    {
        if (const auto* sending = std::get_if<send_peer_message>(&requested))
            return deliver(id, *sending);
        if (const auto* fetch = std::get_if<fetch_value>(&requested))
            return fetch->source == state::value_source::platform ? readPlatform(id, *fetch) : readPeer(id, *fetch);
        if (const auto* served = std::get_if<reply_with_value>(&requested)) {
            const auto read = m_pendingReads.find(served->replyToken);
            if (read != m_pendingReads.end())
                answerRead(read->second.reader, read->second.requested, served->number, served->body);
            m_pendingReads.erase(served->replyToken);
        }
        if (std::holds_alternative<send_attempt>(requested))
            members.at(id).sentAttempts.push_back(requested);
    }

    void deliver(const std::string& id, const send_peer_message& sending)
    {
        const auto* target = findByAddress(sending.address);
        const auto targetId = sending.address.substr(3);
        if (canReach(id, target) && !(dropsDatagram && dropsDatagram(id, targetId)))
            post(targetId, peer_message_received { addressOf(id), sending.message });
    }

    void readPlatform(const std::string& id, const fetch_value& requested)
    {
        platform.calls.push_back(now);
        if (platform.unavailable || members.at(id).platformUnreachable)
            return failRead(id, requested);
        const auto found = platform.values.find(requested.key);
        if (found != platform.values.end() && found->second.number > requested.after)
            return answerRead(id, requested, found->second.number, found->second.body);
        if (requested.wait > state::duration::zero())
            m_pendingWatches.push_back({ id, requested, now + requested.wait });
        else
            answerRead(id, requested, 0, {});
    }

    void readPeer(const std::string& id, const fetch_value& requested)
    {
        const auto* target = findByAddress(requested.address);
        if (!canReach(id, target) || target->paused)
            return failRead(id, requested);
        m_pendingReads[++m_lastToken] = { id, requested };
        post(requested.address.substr(3), value_requested { m_lastToken, requested.key, requested.after });
    }

    random_generator m_random;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_lastToken = 0;
    std::multimap<state::time_point, std::pair<std::string, event>> m_events;
    std::map<std::string, std::vector<event>> m_pausedEvents;
    std::vector<pending_watch> m_pendingWatches;
    std::map<std::uint64_t, pending_read> m_pendingReads;
};

/// Sizes of a simulated fleet, and the values that are published for it.
struct fleet_layout {
    std::size_t nodes = 16;
    std::size_t dataCentres = 3;
    std::size_t teams = 3;
    std::size_t servers = 12;

    [[nodiscard]] std::string idOf(std::size_t index) const { return absl::StrFormat("entry-%03d", index); }
    [[nodiscard]] std::string dataCentreOf(std::size_t index) const { return absl::StrCat("dc-", index % dataCentres); }

    /// Publishes all values, without starting nodes.
    void publish(simulated_fleet& fleet) const
    {
        std::string hosts;
        std::string index;
        for (std::size_t each = 0; each < nodes; ++each)
            hosts += absl::StrCat(
                idOf(each), " ", dataCentreOf(each), " ", simulated_fleet::addressOf(idOf(each)), " entry\n");
        for (std::size_t each = 0; each < servers; ++each)
            hosts += absl::StrCat("server-", each, " ", dataCentreOf(each), " back-", each, " service-0\n");
        for (std::size_t each = 0; each < teams; ++each) {
            index += absl::StrCat("acaciaslip/teams/", each, " 1\n");
            fleet.publish(absl::StrCat("acaciaslip/teams/", each), 1, absl::StrCat("service-", each, " 1 9"));
        }
        fleet.publish(hostsKey, 1, hosts);
        fleet.publish(templatesKey, 1, "1");
        fleet.publish(dataCentresKey, 1, "");
        fleet.publish(indexKey, 1, index);
    }

    void startAll(simulated_fleet& fleet) const
    {
        for (std::size_t each = 0; each < nodes; ++each)
            fleet.start(idOf(each), dataCentreOf(each));
    }

    /// Publishes a new revision of the first team's settings, and the matching index.
    void changeTeam(simulated_fleet& fleet, state::revision number) const
    {
        fleet.publish("acaciaslip/teams/0", number, "service-0 1 9");
        std::string index = absl::StrCat("acaciaslip/teams/0 ", number, "\n");
        for (std::size_t each = 1; each < teams; ++each)
            index += absl::StrCat("acaciaslip/teams/", each, " 1\n");
        fleet.publish(indexKey, number, index);
    }
};

} // namespace acaciaslip::coordination
