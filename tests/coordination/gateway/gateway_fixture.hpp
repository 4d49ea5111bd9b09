#pragma once

#include "coordination/gateway/fleet_merge.hpp"
#include "coordination/gateway/node.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

namespace acaciaslip::coordination::gateway {

using namespace std::chrono_literals;
using state::gateway::request_kind;

/// One gateway node behind its door: the published fleet comes from the test, time is virtual, effects are kept.
class gateway_fixture : public testing::Test {
protected:
    gateway_fixture()
    {
        node_settings settings;
        settings.id = "entry-1";
        settings.dataCentre = "dc-a";
        settings.ip = "10.0.0.1";
        m_node = makeNode(std::move(settings), m_now);
        m_route.name = "lookups";
        m_route.host = "shop.example";
        m_route.pathPrefix = "/a/";
        m_route.kind = request_kind::idempotent;
        m_route.objective = 600ms;
        m_route.timeout = 1200ms;
        m_route.attempts = 2;
        m_route.split = { { "a", 1 } };
    }

    /// Publishes `m_route` with servers "s0", "s1"… of service "a", all in the node's own data centre.
    void serve(std::size_t servers)
    {
        publishConfiguration();
        for (std::size_t index = 0; index < servers; ++index)
            m_published.servers["s" + std::to_string(index)] = { nextRevision(), makeEntry(index) };
        publish();
    }

    void publishConfiguration()
    {
        state::gateway::configuration config;
        config.version = ++m_version;
        config.routes = { m_route };
        for (const auto& part : m_route.split)
            config.services.push_back({ part.service, "/health", 100, 3s, 3.4 });
        m_published.config = { nextRevision(), config };
    }

    static state::gateway::server_entry makeEntry(std::size_t index, std::string dataCentre = "dc-a")
    {
        state::gateway::server_entry entry;
        entry.id = "s" + std::to_string(index);
        entry.service = "a";
        entry.address = "10.1.0." + std::to_string(index + 1) + ":80";
        entry.dataCentre = std::move(dataCentre);
        entry.slots = 4;
        entry.startedAtUnixMs = 1000;
        return entry;
    }

    /// Gives the node a snapshot of `m_published`.
    void publish(fleet_source source = fleet_source::store)
    {
        m_published.asOf = m_revision;
        happen(fleet_published { { true, 0, m_published }, source });
    }

    state::revision nextRevision() { return ++m_revision; }

    void happen(const event& happened) { handle(m_node, happened, m_now, m_random, m_effects); }

    /// Lets time pass, waking the node whenever it asks for it.
    void pass(state::duration span)
    {
        const auto end = m_now + span;
        for (auto next = nextWakeUp(m_node); next && *next <= end; next = nextWakeUp(m_node)) {
            m_now = std::max(m_now, *next);
            happen(timer_expired {});
        }
        m_now = end;
        happen(timer_expired {});
    }

    state::request_id arrive(std::string path = "/a/x", state::duration callerWaits = 2500ms)
    {
        const auto id = state::request_id { ++m_lastRequest };
        happen(
            request_arrived { id, "r" + std::to_string(m_lastRequest), "shop.example", std::move(path), callerWaits });
        return id;
    }

    static state::gateway::load_report idle(double slowdown = 1) { return { 0, 0, 4, slowdown, {} }; }
    static state::gateway::load_report full(std::uint32_t waiting = 0) { return { 4, waiting, 4, 1, {} }; }

    void answerAsk(const ask_server& ask, state::gateway::load_report report, state::duration coldLeft = {})
    {
        ask_finished finished;
        finished.id = ask.id;
        finished.server = ask.server;
        finished.outcome = ask_outcome::healthy;
        finished.report = report;
        finished.coldLeft = coldLeft;
        happen(finished);
    }

    void failAsk(const ask_server& ask, ask_outcome outcome)
    {
        ask_finished finished;
        finished.id = ask.id;
        finished.server = ask.server;
        finished.outcome = outcome;
        happen(finished);
    }

    /// Answers every open question with what `reports` says of the server, otherwise as idle.
    void answerAsks(const std::map<std::string, state::gateway::load_report>& reports = {})
    {
        for (const auto& ask : take<ask_server>()) {
            const auto known = reports.find(ask.server);
            answerAsk(ask, known == reports.end() ? idle() : known->second);
        }
    }

    /// Lets a request arrive, answers the questions, and gives the send that follows.
    send_request sendOne()
    {
        arrive();
        answerAsks();
        return takeOne<send_request>();
    }

    void finish(state::attempt_id attempt, state::attempt_outcome outcome, int status = 0)
    {
        attempt_finished finished;
        finished.id = attempt;
        finished.outcome = outcome;
        finished.status = status;
        happen(finished);
    }

    /// Takes the effects of a kind out of those that are kept.
    template <typename Effect> std::vector<Effect> take()
    {
        std::vector<Effect> taken;
        std::erase_if(m_effects, [&](const effect& kept) {
            const auto* wanted = std::get_if<Effect>(&kept);
            if (wanted != nullptr)
                taken.push_back(*wanted);
            return wanted != nullptr;
        });
        return taken;
    }

    template <typename Effect> Effect takeOne()
    {
        const auto taken = take<Effect>();
        EXPECT_EQ(taken.size(), 1U);
        return taken.empty() ? Effect {} : taken.front();
    }

    state::time_point m_now { 1h };
    gateway_node m_node;
    random_generator m_random { 7 };
    effect_list m_effects;
    state::gateway::route m_route;
    state::gateway::published_fleet m_published;
    state::revision m_revision = 0;
    std::uint32_t m_version = 0;
    std::uint64_t m_lastRequest = 0;
};

} // namespace acaciaslip::coordination::gateway
