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

/// What a caller asks for in a test.
struct test_request {
    std::string path = "/a";
    bool idempotent = false;
    std::string key = "";
    std::optional<state::duration> timeout = std::nullopt;
};

/// One node behind its door: published settings come from the test, time is virtual, effects are kept.
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

    /// Publishes `m_service` with warm servers "s0", "s1"… in data centre dc-a.
    void serve(std::size_t servers)
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
        warmUp();
    }

    /// Puts `*m_published` in force under the next revision.
    void publish()
    {
        value_received received;
        received.key = "acaciaslip/hosts";
        received.number = ++m_revision;
        received.body = std::to_string(m_revision);
        happen(received);
    }

    void warmUp()
    {
        for (auto& server : m_node.fleet.servers)
            server.condition = state::server_condition::warm;
    }

    void happen(const event& happened) { handle(m_node, happened, m_now, m_random, m_effects); }

    /// Lets time pass, with a tick at every step's end.
    void pass(state::duration span, state::duration step = 10ms)
    {
        for (const auto end = m_now + span; m_now < end;) {
            m_now = std::min(m_now + step, end);
            happen(tick {});
        }
    }

    state::request_id arrive(const test_request& asked = {})
    {
        const auto id = state::request_id { ++m_lastRequest };
        happen(request_arrived { id, "host", asked.path, asked.idempotent, asked.key, asked.timeout, nullptr });
        return id;
    }

    /// Has requests come until every server is full, however many they take.
    /// \return the attempts that run, oldest first
    std::vector<state::attempt_id> fill()
    {
        std::vector<state::attempt_id> running;
        for (int tries = 0; tries < 1000; ++tries) {
            const auto id = arrive();
            const auto sent = take<send_attempt>();
            if (sent.empty()) {
                happen(caller_gone { id });
                return running;
            }
            running.push_back(sent.front().id);
        }
        ADD_FAILURE() << "servers are never full";
        return running;
    }

    [[nodiscard]] state::request_id requestOf(state::attempt_id id) const
    {
        return m_node.requests.attempts.at(id).request;
    }

    void finish(state::attempt_id id, state::attempt_outcome outcome)
    {
        happen(attempt_finished { id, outcome, outcome == state::attempt_outcome::answered ? 200 : 0, nullptr });
    }

    /// Takes the effects of one kind out of those kept, oldest first.
    template <typename Effect> std::vector<Effect> take()
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

    /// Takes the one effect of a kind that must be there.
    template <typename Effect> Effect takeOne()
    {
        auto taken = take<Effect>();
        EXPECT_EQ(taken.size(), 1U);
        return taken.empty() ? Effect {} : taken.front();
    }

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
