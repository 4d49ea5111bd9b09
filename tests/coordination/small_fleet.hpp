#pragma once

#include "coordination/membership.hpp"
#include "coordination/message_size.hpp"
#include "coordination/node.hpp"
#include "coordination/settings_spread.hpp"
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
inline constexpr state::duration deliveryTime = 1ms;

/// A reader of a plain text form of the published values:
/// index "KEY REVISION", hosts "ID DATA_CENTRE ADDRESS entry|SERVICE", data_centres "DATA_CENTRE", templates "VERSION",
/// teams "SERVICE LOWEST HIGHEST" (versions of the templates that they go with); "bad" is not valid anywhere.
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
                text >> settings.indexed[first];
            } else if (key == dataCentresKey) {
                settings.dataCentresOut.push_back(first);
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
                    return absl::InvalidArgumentError(absl::StrCat(key, " does not go with templates ", version));
                state::service_settings service;
                service.name = { "team", first };
                service.pathPrefix = "/" + first;
                settings.services.push_back(service);
            }
        }
    }
    return settings;
}

/// The platform's values, which a test may change, hold back or take away.
struct small_platform {
    struct value {
        state::revision number = 0;
        std::string body;
    };

    std::map<state::value_key, value> values;
    bool down = false;
    std::vector<state::time_point> calls;

    /// The most calls in any second between two instants.
    [[nodiscard]] std::size_t countBusiestSecond(state::time_point from, state::time_point to) const
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

    [[nodiscard]] double countPerSecond(state::time_point from, state::time_point to) const
    {
        const auto count = std::count_if(calls.begin(), calls.end(), [&](auto at) { return at >= from && at < to; });
        return static_cast<double>(count) / std::chrono::duration<double>(to - from).count();
    }
};

/// Several nodes' decisions on one virtual time line: what they tell each other sits in one list, in order of time.
class small_fleet {
public:
    struct member {
        std::unique_ptr<node> self;
        random_generator random;
        bool paused = false;
        bool cut = false; ///< hears and reaches no other node
        bool cutFromPlatform = false;
        std::vector<effect> sent; ///< attempts that the node sent
    };

    explicit small_fleet(std::uint64_t seed = 1)
        : m_random(seed)
    {
    }

    /// Adds a node that has just started, or starts one anew at its old address.
    member& start(const std::string& id, const std::string& dataCentre, const std::vector<std::string>& seeds = {})
    {
        state::node_settings settings;
        settings.id = id;
        settings.dataCentre = dataCentre;
        settings.peers = addressOf(id);
        settings.platform = { "platform" };
        settings.seedPeers = seeds;
        auto& started = members[id];
        started.self = std::make_unique<node>(makeNode(settings, ++m_incarnation, readPlainSettings));
        started.random.seed(m_random());
        started.paused = false;
        return started;
    }

    static std::string addressOf(const std::string& id) { return "at-" + id; }

    node& operator[](const std::string& id) { return *members.at(id).self; }

    void publish(std::string_view key, state::revision number, const std::string& body)
    {
        platform.values[std::string(key)] = { number, body };
        std::erase_if(m_watches, [&](const watch& held) {
            if (held.wanted.key != key || held.wanted.after >= number)
                return false;
            answerRead(held.reader, held.wanted, number, body);
            return true;
        });
    }

    void handle(const std::string& id, const event& happened)
    {
        auto& target = members.at(id);
        if (target.paused) {
            m_heldBack[id].push_back(happened);
            return;
        }
        effect_list effects;
        coordination::handle(*target.self, happened, now, target.random, effects);
        for (auto& wanted : effects)
            carryOut(id, wanted);
    }

    /// Lets time pass.
    void run(state::duration span)
    {
        const auto until = now + span;
        while (now < until) {
            now += deliveryTime;
            deliverDue();
            expireWatches();
            tickSome();
        }
    }

    /// Lets time pass until something holds.
    /// \return how long it took; nothing when it did not hold in time
    std::optional<state::duration> runUntil(const std::function<bool()>& holds, state::duration longest)
    {
        const auto began = now;
        while (now - began < longest) {
            if (holds())
                return now - began;
            run(deliveryTime);
        }
        return std::nullopt;
    }

    void pause(const std::string& id) { members.at(id).paused = true; }

    /// Wakes a paused node: what came meanwhile is handled late.
    void wake(const std::string& id)
    {
        members.at(id).paused = false;
        for (const auto& late : std::exchange(m_heldBack[id], {}))
            handle(id, late);
    }

    bool isEverywhere(const state::value_key& key, state::revision number)
    {
        return std::all_of(members.begin(), members.end(), [&](const auto& entry) {
            const auto& values = entry.second.self->values;
            const auto found = values.find(key);
            return found != values.end() && found->second.inForce.number == number;
        });
    }

    std::map<std::string, member> members;
    small_platform platform;
    state::time_point now { 100s };
    std::function<bool(const std::string& from, const std::string& to)> loses; ///< drops a datagram when true

private:
    struct watch {
        std::string reader;
        fetch_value wanted;
        state::time_point until;
    };

    struct served_read {
        std::string reader;
        fetch_value wanted;
    };

    void deliverDue()
    {
        while (!m_events.empty() && m_events.begin()->first <= now) {
            const auto [id, happened] = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            if (members.contains(id))
                handle(id, happened);
        }
    }

    void tickSome()
    {
        // Nodes tick at different milliseconds, as they do on different hosts.
        const auto phase = static_cast<std::size_t>(now.time_since_epoch() / deliveryTime) % 10;
        std::size_t index = 0;
        for (auto& [id, each] : members) {
            if (index++ % 10 == phase && !each.paused)
                handle(id, tick {});
        }
    }

    void expireWatches()
    {
        std::erase_if(m_watches, [&](const watch& held) {
            if (now < held.until)
                return false;
            answerRead(held.reader, held.wanted, 0, {});
            return true;
        });
    }

    void post(const std::string& id, const event& happened)
    {
        m_events.emplace(now + deliveryTime, std::pair(id, happened));
    }

    void answerRead(const std::string& id, const fetch_value& wanted, state::revision number, const std::string& body)
    {
        post(id, value_received { wanted.key, number, body, wanted.source, wanted.address, wanted.askedAt });
    }

    void failRead(const std::string& id, const fetch_value& wanted)
    {
        post(id, value_read_failed { wanted.key, wanted.source, wanted.address, wanted.askedAt });
    }

    member* findByAddress(const std::string& address)
    {
        const auto found = members.find(address.substr(std::min<std::size_t>(3, address.size())));
        return found == members.end() ? nullptr : &found->second;
    }

    bool reaches(const std::string& id, const member* target)
    {
        return target != nullptr && !members.at(id).cut && !target->cut;
    }

    void carryOut(const std::string& id, const effect& wanted)
    {
        if (const auto* told = std::get_if<tell_peer>(&wanted))
            return deliver(id, *told);
        if (const auto* fetch = std::get_if<fetch_value>(&wanted))
            return fetch->source == state::value_source::platform ? readPlatform(id, *fetch) : readPeer(id, *fetch);
        if (const auto* served = std::get_if<serve_value>(&wanted)) {
            const auto read = m_served.find(served->token);
            if (read != m_served.end())
                answerRead(read->second.reader, read->second.wanted, served->number, served->body);
            m_served.erase(served->token);
        }
        if (std::holds_alternative<send_attempt>(wanted))
            members.at(id).sent.push_back(wanted);
    }

    void deliver(const std::string& id, const tell_peer& told)
    {
        const auto* target = findByAddress(told.address);
        const auto targetId = told.address.substr(3);
        if (reaches(id, target) && !(loses && loses(id, targetId)))
            post(targetId, peer_message_received { addressOf(id), told.message });
    }

    void readPlatform(const std::string& id, const fetch_value& wanted)
    {
        platform.calls.push_back(now);
        if (platform.down || members.at(id).cutFromPlatform)
            return failRead(id, wanted);
        const auto found = platform.values.find(wanted.key);
        if (found != platform.values.end() && found->second.number > wanted.after)
            return answerRead(id, wanted, found->second.number, found->second.body);
        if (wanted.wait > state::duration::zero())
            m_watches.push_back({ id, wanted, now + wanted.wait });
        else
            answerRead(id, wanted, 0, {});
    }

    void readPeer(const std::string& id, const fetch_value& wanted)
    {
        const auto* target = findByAddress(wanted.address);
        if (!reaches(id, target) || target->paused)
            return failRead(id, wanted);
        m_served[++m_token] = { id, wanted };
        post(wanted.address.substr(3), value_requested { m_token, wanted.key, wanted.after });
    }

    random_generator m_random;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_token = 0;
    std::multimap<state::time_point, std::pair<std::string, event>> m_events;
    std::map<std::string, std::vector<event>> m_heldBack;
    std::vector<watch> m_watches;
    std::map<std::uint64_t, served_read> m_served;
};

/// The settings of a fleet of a given size.
struct fleet_plan {
    std::size_t nodes = 16;
    std::size_t dataCentres = 3;
    std::size_t teams = 3;
    std::size_t servers = 12;

    [[nodiscard]] std::string idOf(std::size_t index) const { return absl::StrFormat("entry-%03d", index); }
    [[nodiscard]] std::string dataCentreOf(std::size_t index) const { return absl::StrCat("dc-", index % dataCentres); }

    /// Publishes everything and starts no node.
    void publish(small_fleet& fleet) const
    {
        std::string hosts;
        std::string index;
        for (std::size_t each = 0; each < nodes; ++each)
            hosts += absl::StrCat(
                idOf(each), " ", dataCentreOf(each), " ", small_fleet::addressOf(idOf(each)), " entry\n");
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

    void startAll(small_fleet& fleet) const
    {
        for (std::size_t each = 0; each < nodes; ++each)
            fleet.start(idOf(each), dataCentreOf(each));
    }

    /// Publishes a new revision of the first team, and the index that names it.
    void changeTeam(small_fleet& fleet, state::revision number) const
    {
        fleet.publish("acaciaslip/teams/0", number, "service-0 1 9");
        std::string index = absl::StrCat("acaciaslip/teams/0 ", number, "\n");
        for (std::size_t each = 1; each < teams; ++each)
            index += absl::StrCat("acaciaslip/teams/", each, " 1\n");
        fleet.publish(indexKey, number, index);
    }
};

} // namespace acaciaslip::coordination
