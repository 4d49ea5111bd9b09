#pragma once

#include "coordination/effects.hpp"
#include "coordination/gateway/events.hpp"
#include "state/gateway/published_fleet.hpp"
#include "transport/loop/http_link.hpp"
#include "transport/loop/timer.hpp"

#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>
#include <nlohmann/json_fwd.hpp>
#include <pcg_random.hpp>

namespace acaciaslip::platform {

/// Follows the platform's store: reads everything once, then waits for changes.
///
/// What fails is tried again after a pause that grows. When the store has dropped the history that is needed,
/// everything is read anew.
class store_client {
public:
    using event_sink = std::function<void(coordination::gateway::event)>;
    using log_sink = std::function<void(const coordination::log_event&)>;

    /// \param address of the store, "ip:port"
    store_client(uv_loop_t* loop, std::string address, event_sink sink, log_sink log);

    /// Begins to follow the store.
    void start();

    /// Follows the store at another address from the next call on.
    void setAddress(std::string address) { m_address = std::move(address); }

    /// Stops following; `start` begins again.
    void stop();

    /// Tells that everything up to a revision is known from elsewhere, so that reading can go on from there.
    void skipTo(state::revision known);

    /// Ends a wait for changes at once, because somebody else knows more.
    void hurry();

    [[nodiscard]] bool isFollowing() const noexcept { return m_following; }
    [[nodiscard]] std::uint64_t calls() const noexcept { return m_calls; } ///< since the start

private:
    enum class stage { idle, listing, watching };

    void callNext();
    void call(std::string target, state::duration patience);
    void list();
    void watch();
    void noteAnswer(const protocol::http::message& answer);
    void takePage(const nlohmann::json& page);
    void finishListing();
    void takeEvents(const nlohmann::json& events);
    void addItems(const nlohmann::json& items);
    void noteSuccess();
    void noteFailure(const std::string& reason);
    void closeLink();

    uv_loop_t* m_loop;
    std::string m_address;
    event_sink m_sink;
    log_sink m_log;
    std::shared_ptr<transport::loop::http_link> m_link;
    transport::loop::timer m_patience;
    transport::loop::timer m_pause;
    pcg32 m_random;
    stage m_stage = stage::idle;
    std::size_t m_prefix = 0; ///< which of the prefixes is being listed
    std::string m_after; ///< key after which the next page begins
    state::gateway::published_fleet m_read; ///< of the listing under way, or of the newest events
    state::revision m_asOf = 0; ///< every change up to here was handed on
    bool m_mustList = true;
    bool m_firstListing = true;
    /// A read that may be stale costs a tenth, and the watch that follows tells what it lacks; but not when the history
    /// behind the stale revision is gone.
    bool m_staleServes = true;
    bool m_following = false;
    bool m_lost = false;
    std::uint32_t m_failures = 0; ///< in a row
    std::uint64_t m_calls = 0;
};

} // namespace acaciaslip::platform
