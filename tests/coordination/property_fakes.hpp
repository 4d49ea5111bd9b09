#pragma once

#include "coordination/node.hpp"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace acaciaslip::coordination {

using namespace std::chrono_literals;

/// A caller's request, over all nodes and their restarts.
struct request_key {
    std::size_t node = 0;
    std::uint64_t incarnation = 0;
    state::request_id id {};

    [[nodiscard]] friend auto operator<=>(const request_key&, const request_key&) = default; // NOLINT
};

/// Stands for a request's bytes and for those of its answer.
struct fake_payload : state::payload {
    explicit fake_payload(request_key key)
        : of(key)
    {
    }
    request_key of;
};

/// A server: a counter of slots and a boot id.
struct fake_server {
    std::string boot = "1";
    std::uint32_t capacity = 2; ///< more than this at a time is shed
    std::uint32_t running = 0;
    bool down = false;
};

enum class attempt_stage { queued, written, ended };

struct fake_attempt {
    request_key of;
    send_attempt send;
    attempt_stage stage = attempt_stage::queued;
    std::uint32_t coldLimit = 0; ///< the server's when it was sent; 0: the node held it for warm
};

/// One process: a node, and what its transport knows.
struct fake_process {
    node self;
    std::uint64_t incarnation = 0;
    state::time_point pausedUntil;
    bool stopped = false;
    std::map<state::attempt_id, fake_attempt> attempts; ///< every one of this incarnation
};

/// Every revision of the lists: their number is their position, from 1, and the published bodies.
struct fake_platform {
    std::vector<std::vector<state::host_record>> hosts;
    std::vector<std::vector<state::data_centre_id>> out;
    bool down = false;
    bool stale = false; ///< gives out the last revision but one
};

/// What the promises are checked against.
struct fake_fleet {
    state::time_point now { 1h };
    state::time_point lastFault; ///< the last time that nodes were split, paused, replaced or drained
    std::vector<fake_process> processes;
    std::map<state::host_id, fake_server> servers;
    fake_platform platform;

    [[nodiscard]] bool isPaused(std::size_t index) const { return now < processes[index].pausedUntil; }
};

} // namespace acaciaslip::coordination
