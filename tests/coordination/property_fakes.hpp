#pragma once

#include "coordination/node.hpp"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace acaciaslip::coordination {

using namespace std::chrono_literals;

/// Identifies a caller's request across all nodes and their restarts.
struct request_key {
    std::size_t node = 0;
    std::uint64_t incarnation = 0;
    state::request_id id {};

    [[nodiscard]] friend auto operator<=>(const request_key&, const request_key&) = default; // NOLINT
};

/// Fake body of a request and of its answer, which identifies the request.
struct fake_payload : state::payload {
    explicit fake_payload(request_key key)
        : requestKey(key)
    {
    }
    request_key requestKey;
};

/// Fake server, reduced to its slots and its boot id.
struct fake_server {
    std::string boot = "1";
    std::uint32_t capacity = 2; ///< concurrent requests; more are shed
    std::uint32_t running = 0;
    bool down = false;
};

/// Progress of an attempt in the fake transport.
enum class attempt_stage { queued, written, ended };

/// An attempt in the fake transport.
struct fake_attempt {
    request_key requestKey;
    send_attempt send;
    attempt_stage stage = attempt_stage::queued;
    /// The server's limit when the attempt was sent; 0: the node regarded the server as warm.
    std::uint32_t coldLimit = 0;
};

/// Fake process: a node with the state of its transport.
struct fake_process {
    node self;
    std::uint64_t incarnation = 0;
    state::time_point pausedUntil;
    bool stopped = false;
    std::map<state::attempt_id, fake_attempt> attempts; ///< all attempts of this incarnation
};

/// Fake platform with all revisions of the published lists. A revision's number is its position, counted from 1, and is
/// also the published body.
struct fake_platform {
    std::vector<std::vector<state::host_record>> hosts;
    std::vector<std::vector<state::data_centre_id>> evacuated;
    bool down = false; ///< every read fails
    bool stale = false; ///< returns the last but one revision
};

/// State of the simulated fleet that the invariants are checked against.
struct fake_fleet {
    state::time_point now { 1h };
    state::time_point lastFault; ///< when nodes were last partitioned, paused, restarted or drained
    std::vector<fake_process> processes;
    std::map<state::host_id, fake_server> servers;
    fake_platform platform;

    [[nodiscard]] bool isPaused(std::size_t index) const { return now < processes[index].pausedUntil; }
};

} // namespace acaciaslip::coordination
