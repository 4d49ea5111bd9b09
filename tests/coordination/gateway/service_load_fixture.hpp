#pragma once

#include "coordination/gateway/gateway_fixture.hpp"

#include <map>
#include <string>
#include <vector>

namespace acaciaslip::coordination::gateway {

constexpr state::duration promptRefusalTime = 100ms;

/// Requests that arrive at even intervals.
struct request_stream {
    std::size_t count = 0;
    state::duration interval {};
    state::duration callerTimeout {};
    state::duration serviceTime {}; ///< of each request
    std::string path = "/a/x";
};

struct stream_result {
    std::size_t sent = 0; ///< attempts
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t refusedAfterWaiting = 0; ///< refused later than `promptRefusalTime` after the arrival
};

/// Idle servers that answer each request after the service time of its stream.
class service_load_fixture : public gateway_fixture {
protected:
    service_load_fixture()
    {
        m_node.membership.startedAt -= 1min; // until `retryWindow` after its start a node repeats hardly anything
    }

    /// Runs several streams concurrently until all requests have ended.
    /// \return the results, in the order of the streams
    std::vector<stream_result> serveStreams(const std::vector<request_stream>& streams)
    {
        constexpr state::duration step = 5ms;
        m_results.assign(streams.size(), {});
        std::vector<std::size_t> started(streams.size());
        const auto begin = m_now;
        const auto allStarted = [&] {
            for (std::size_t index = 0; index < streams.size(); ++index) {
                if (started[index] < streams[index].count)
                    return false;
            }
            return true;
        };
        while (!allStarted() || !m_open.empty()) {
            for (std::size_t index = 0; index < streams.size(); ++index) {
                const auto& stream = streams[index];
                while (started[index] < stream.count && m_now >= begin + stream.interval * started[index]) {
                    ++started[index];
                    m_open[startRequest(stream.path, stream.callerTimeout)] = { index, m_now, stream.serviceTime };
                }
            }
            answerProbes();
            startAttempts();
            finishDue();
            recordOutcomes();
            m_effects.clear();
            advanceTime(step);
        }
        return m_results;
    }

    stream_result serve(const request_stream& stream) { return serveStreams({ stream }).front(); }

    state::attempt_outcome m_outcome = state::attempt_outcome::answered; ///< of each attempt

private:
    struct open_request {
        std::size_t stream = 0;
        state::time_point arrivedAt;
        state::duration serviceTime {};
    };

    void startAttempts()
    {
        for (const auto& sent : takeEffects<send_request>()) {
            const auto& request = m_open.at(sent.request);
            ++m_results[request.stream].sent;
            m_running.emplace(m_now + request.serviceTime, sent.id);
        }
    }

    void finishDue()
    {
        while (!m_running.empty() && m_running.begin()->first <= m_now) {
            const auto attempt = m_running.begin()->second;
            m_running.erase(m_running.begin());
            finishAttempt(attempt, m_outcome, m_outcome == state::attempt_outcome::answered ? 200 : 0);
        }
    }

    void recordOutcomes()
    {
        for (const auto& answer : takeEffects<answer_caller>()) {
            ++m_results[m_open.at(answer.id).stream].served;
            m_open.erase(answer.id);
        }
        for (const auto& refusal : takeEffects<refuse_caller>()) {
            const auto& request = m_open.at(refusal.id);
            auto& result = m_results[request.stream];
            ++result.refused;
            result.refusedAfterWaiting += m_now - request.arrivedAt > promptRefusalTime ? 1 : 0;
            m_open.erase(refusal.id);
        }
    }

    std::vector<stream_result> m_results;
    std::map<state::request_id, open_request> m_open;
    std::multimap<state::time_point, state::attempt_id> m_running; ///< by the end of the work
};

} // namespace acaciaslip::coordination::gateway
