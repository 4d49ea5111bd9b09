#pragma once

#include "transport/caller_connection.hpp"
#include "transport/event_sink.hpp"

#include <atomic>
#include <memory>
#include <thread>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <tbb/concurrent_queue.h>

namespace acaciaslip::transport {

/// A thread that reads requests from and writes answers to its share of the callers' connections.
///
/// No connection holds the thread: an idle, slow or stalled caller costs a table entry and its buffer.
class caller_loop {
public:
    /// \param index of this loop among `loops`; request ids tell which loop they belong to
    caller_loop(event_sink events, const edge_limits& limits, std::uint64_t index, std::uint64_t loops);
    caller_loop(const caller_loop&) = delete;
    caller_loop& operator=(const caller_loop&) = delete;
    ~caller_loop();

    /// Starts the thread. \return false when the kernel has no room for it
    [[nodiscard]] bool start();

    /// Takes over a connection; waits while the ring is full.
    /// \param refused it is one too many: it is answered 503 and closed
    void add(int socket, bool refused);

    /// Tells a request's result.
    void finish(caller_result result);

    /// Ends each connection after the request that it is in; idle ones now.
    void beginStop();

    /// Refuses requests of which only a part has come.
    void refuseParts();

    /// Ends the thread, and what connections are left.
    void stop();

    /// Connections that are open.
    [[nodiscard]] std::size_t openConnections() const noexcept { return m_open; }

private:
    struct added_connection {
        int socket;
        bool refused;
    };
    using command = std::variant<added_connection, caller_result>;

    /// A connection and the request that it waits for.
    struct entry {
        std::unique_ptr<caller_connection> connection;
        state::request_id waitsFor {};
    };

    void run();
    void wake();
    void takeCommands(state::time_point now);
    void obey(const added_connection& added, state::time_point now);
    void obey(const caller_result& result, state::time_point now);
    void serve(int socket, entry& served, state::time_point now);
    void post(int socket, entry& served, std::shared_ptr<exchange> request, state::time_point now);
    void sweep(state::time_point now);
    void forget(int socket);

    event_sink m_events;
    const edge_limits& m_limits;
    std::uint64_t m_nextRequest;
    std::uint64_t m_loops;
    request_parser m_parser;
    int m_epoll = -1;
    int m_wakeup = -1;
    std::atomic<bool> m_woken = false;
    std::atomic<bool> m_ending = false;
    std::atomic<bool> m_refusingParts = false;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::size_t> m_open { 0 };
    tbb::concurrent_bounded_queue<command> m_ring;
    absl::flat_hash_map<int, entry> m_connections; ///< by socket
    absl::flat_hash_map<state::request_id, int> m_waiting; ///< the socket that a result is for
    std::vector<int> m_turns; ///< sockets that want another turn
    state::time_point m_nextSweep;
    std::thread m_thread;
};

} // namespace acaciaslip::transport
