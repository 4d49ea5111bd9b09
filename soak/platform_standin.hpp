#pragma once

#include "soak/guarantees.hpp"
#include "transport/loop/caller_connection.hpp"
#include "transport/loop/tcp_listener.hpp"
#include "transport/loop/timer.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace acaciaslip::soak {

/// An HTTP server on the loopback interface whose handler may answer each request at any later time.
class http_standin {
public:
    using reply = std::function<void(std::string)>; ///< takes the serialized response
    using handler = std::function<void(const protocol::http::message&, const reply&)>;

    http_standin(uv_loop_t* loop, handler handle);
    ~http_standin();
    http_standin(const http_standin&) = delete;
    http_standin& operator=(const http_standin&) = delete;

    [[nodiscard]] std::string address() const;

private:
    void accept(uv_stream_t* listener);

    handler m_handle;
    transport::loop::tcp_listener m_listener;
    std::set<std::shared_ptr<transport::loop::caller_connection>> m_connections;
    std::uint64_t m_nextRequest = 1;
};

/// The part of the platform's key-value store that the gateway reads.
class store_standin {
public:
    explicit store_standin(uv_loop_t* loop);

    /// Writes an item and answers the pending watches. Without a value, the item is removed.
    void put(const std::string& key, const std::optional<std::string>& value);

    /// Keeps a copy of all items for `restore`.
    void keepCopy() { m_copy = { m_items, m_revision }; }

    /// Returns to the copy kept last, in a new era. Watches from later revisions are answered with 410.
    void restore();

    /// Sets whether the store answers with JSON that is not an answer of a store.
    void setMalformed(bool malformed) { m_malformed = malformed; }

    [[nodiscard]] std::string address() const { return m_http.address(); }

private:
    struct item {
        std::uint64_t revision = 0;
        std::optional<std::string> value;
    };
    struct waiting_watch {
        std::uint64_t after = 0;
        http_standin::reply reply;
        std::unique_ptr<transport::loop::timer> limit;
    };

    void handle(const protocol::http::message& request, const http_standin::reply& reply);
    [[nodiscard]] std::string listItems(std::string_view prefix) const;
    [[nodiscard]] std::string listEvents(std::uint64_t after) const;
    void answerWatches();
    void answerWatch(std::uint64_t after, const http_standin::reply& reply) const;
    [[nodiscard]] std::string writeJson(int status, const std::string& body) const;

    uv_loop_t* m_loop;
    std::map<std::string, item> m_items;
    std::uint64_t m_revision = 1;
    std::uint64_t m_era = 1;
    std::pair<std::map<std::string, item>, std::uint64_t> m_copy { {}, 1 }; ///< items and revision
    bool m_malformed = false;
    std::vector<waiting_watch> m_watches;
    http_standin m_http;
};

/// How a server answers requests.
enum class server_fault {
    none,
    sheds, ///< it refuses each one as not executed
    malformed, ///< it executes them and answers with bytes that are no answer
    unfinished, ///< it executes them and answers with a body that does not end
    duplicate, ///< it answers twice
    repeats_refusal, ///< it refuses each one that it has no slot for twice, the second time without the request's id
    late, ///< it answers after the callers' timeout
    fails_after_run, ///< it executes them, then answers 408, 429 or 503
};

/// A backend server that implements the platform's request headers, load reports and health check.
class server_standin {
public:
    server_standin(
        uv_loop_t* loop, std::string id, std::string service, guarantee_checker& checker, std::mt19937& random);

    [[nodiscard]] std::string address() const { return m_http.address(); }
    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] const std::string& service() const { return m_service; }

    void setFault(server_fault fault) { m_fault = fault; }

    /// Sets the requests per second that the server says it takes from all hosts together; empty: it names no limit.
    void setLimit(std::optional<double> perSecond) { m_limitPerSecond = perSecond; }

    [[nodiscard]] std::uint32_t runs() const { return m_runs; } ///< requests executed since the start

private:
    void handle(const protocol::http::message& request, const http_standin::reply& reply);
    [[nodiscard]] std::string writeAnswer(const std::string& id) const;
    [[nodiscard]] std::string head(int status, const std::string& id, std::size_t length) const;

    uv_loop_t* m_loop;
    std::string m_id;
    std::string m_service;
    guarantee_checker& m_checker;
    std::mt19937& m_random;
    std::uint32_t m_running = 0;
    std::uint32_t m_runs = 0;
    server_fault m_fault = server_fault::none;
    std::optional<double> m_limitPerSecond;
    http_standin m_http;
};

} // namespace acaciaslip::soak
