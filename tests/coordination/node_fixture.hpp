#pragma once

#include "coordination/node.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

namespace acaciaslip::coordination {

using namespace std::chrono_literals;

/// A caller's request in a test.
struct test_request {
    std::string path = "/a";
    bool idempotent = false; ///< has an idempotent method
    std::string key = ""; ///< idempotency key; empty: none
    std::optional<state::duration> timeout = std::nullopt; ///< as given by the caller
};

/// Fixture with one node. The test provides the published settings and the virtual time, and inspects the effects.
class node_fixture : public testing::Test {
protected:
    node_fixture()
    {
        state::node_settings settings;
        settings.id = "entry-1";
        settings.dataCentre = "dc-a";
        settings.lameDuck = 100ms;
        m_node = makeNode(std::move(settings), 1,
            [published = m_published](const auto&) -> absl::StatusOr<state::fleet_settings> { return *published; });
        m_service.name = { "team", "a" };
        m_service.pathPrefix = "/a";
        m_service.slots = 1;
    }

    /// Publishes `m_service` with warm servers "s0", "s1"… in data centre "dc-a".
    void publishServers(std::size_t servers)
    {
        m_published->services = { m_service };
        m_published->hosts.clear();
        for (std::size_t index = 0; index < servers; ++index) {
            const auto id = "s" + std::to_string(index);
            m_published->hosts.push_back(
                { id, id + ":1", "dc-a", state::host_kind::server, m_service.name, state::host_listing::live, "" });
        }
        m_published->hosts.push_back(
            { "entry-1", "e1:1", "dc-a", state::host_kind::entry, {}, state::host_listing::live, "e1:2" });
        publish();
        markServersWarm();
    }

    /// Sends `*m_published` to the node under the next revision, which makes it the active settings.
    void publish()
    {
        value_received received;
        received.key = "acaciaslip/hosts";
        received.number = ++m_revision;
        received.body = std::to_string(m_revision);
        handleEvent(received);
    }

    /// Sets the condition of all servers to warm, without slow start.
    void markServersWarm()
    {
        for (auto& server : m_node.fleet.servers)
            server.condition = state::server_condition::warm;
    }

    void handleEvent(const event& received) { handle(m_node, received, m_now, m_random, m_effects); }

    /// Advances the virtual time in steps, with a tick at the end of each.
    void advanceTime(state::duration span, state::duration step = 10ms)
    {
        for (const auto end = m_now + span; m_now < end;) {
            m_now = std::min(m_now + step, end);
            handleEvent(tick {});
        }
    }

    /// Starts a request of a caller.
    state::request_id startRequest(const test_request& options = {})
    {
        const auto id = state::request_id { ++m_lastRequest };
        handleEvent(
            request_arrived { id, "host", options.path, options.idempotent, options.key, options.timeout, nullptr });
        return id;
    }

    /// Starts requests until every server is full.
    /// \return the attempts in flight, oldest first
    std::vector<state::attempt_id> fillServers()
    {
        std::vector<state::attempt_id> running;
        for (int tries = 0; tries < 1000; ++tries) {
            const auto id = startRequest();
            const auto sent = takeEffects<send_attempt>();
            if (sent.empty()) {
                handleEvent(caller_disconnected { id });
                return running;
            }
            running.push_back(sent.front().id);
        }
        ADD_FAILURE() << "servers are not full after 1000 requests";
        return running;
    }

    [[nodiscard]] state::request_id requestOf(state::attempt_id id) const
    {
        return m_node.requests.attempts.at(id).request;
    }

    void finishAttempt(state::attempt_id id, state::attempt_outcome outcome)
    {
        handleEvent(attempt_finished { id, outcome, outcome == state::attempt_outcome::answered ? 200 : 0, nullptr });
    }

    /// Removes the recorded effects of one type and returns them, oldest first.
    template <typename Effect> std::vector<Effect> takeEffects()
    {
        std::vector<Effect> taken;
        std::erase_if(m_effects, [&](const effect& kept) {
            const auto* found = std::get_if<Effect>(&kept);
            if (found)
                taken.push_back(*found);
            return found != nullptr;
        });
        return taken;
    }

    /// Like `take`, for exactly one effect.
    template <typename Effect> Effect takeEffect()
    {
        auto taken = takeEffects<Effect>();
        EXPECT_EQ(taken.size(), 1U);
        return taken.empty() ? Effect {} : taken.front();
    }

    /// \return requests of this node in flight on all servers
    [[nodiscard]] std::uint32_t inFlight() const
    {
        std::uint32_t total = 0;
        for (const auto& server : m_node.fleet.servers)
            total += server.ownInFlight;
        return total;
    }

    std::shared_ptr<state::fleet_settings> m_published = std::make_shared<state::fleet_settings>();
    state::service_settings m_service;
    node m_node;
    random_generator m_random { 7 };
    state::time_point m_now { 1h };
    effect_list m_effects;
    state::revision m_revision = 0;
    std::uint64_t m_lastRequest = 0;
};

} // namespace acaciaslip::coordination
