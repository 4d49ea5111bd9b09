#pragma once

#include "coordination/effects.hpp"
#include "coordination/gateway/events.hpp"
#include "platform/call_pacing.hpp"
#include "state/gateway/published_fleet.hpp"
#include "transport/loop/http_connection.hpp"
#include "transport/loop/timer.hpp"

#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>
#include <nlohmann/json_fwd.hpp>
#include <pcg_random.hpp>

namespace acaciaslip::platform {

struct store_answer;

/// Follows the platform's store: lists all items once, then watches for changes.
///
/// Failed calls, answers that cannot be used and watches that end early without news are repeated with exponential
/// backoff. If the store has dropped the history that a watch needs, has been restored from a copy, or answers a watch
/// with more bytes than are read, all items are listed again.
class store_client {
public:
    using event_sink = std::function<void(coordination::gateway::event)>;
    using log_sink = std::function<void(const coordination::log_event&)>;

    /// \param address of the store, "ip:port"
    store_client(uv_loop_t* loop, std::string address, event_sink sink, log_sink log);

    /// Starts following the store.
    void start();

    /// Changes the store's address. A call in progress at another address is abandoned and repeated at the new one.
    void setAddress(std::string address);

    /// Sets the time after which a store that has not answered counts as lost; used from the next watch on.
    void setMaxSilence(state::duration maxSilence) { m_maxSilence = maxSilence; }

    /// Stops following; `start` resumes.
    void stop();

    /// Skips changes up to a revision that is already known from another source, such as a peer.
    void skipTo(state::revision known);

    /// Restarts the current watch immediately, because a peer has newer data.
    void restartWatch();

    [[nodiscard]] bool isFollowing() const noexcept { return m_following; }
    [[nodiscard]] std::uint64_t calls() const noexcept { return m_calls; } ///< calls since the process started
    /// Number of watch answers since the process started that came early and contained nothing new.
    [[nodiscard]] std::uint64_t uselessAnswers() const noexcept { return m_pacing.uselessAnswersTotal; }

private:
    enum class stage { idle, listing, watching };
    enum class store_state { unknown, answers, lost }; ///< since following began

    void callNext();
    void call(std::string target, state::duration timeout);
    void list();
    void watch();
    void handleTimeout();
    void handleResponse(const protocol::http::message& answer);
    void reportAnswer();
    /// Checks the era of an answer. A new one makes all that was read before incomplete.
    /// \return whether the answer can be used
    bool acceptEra(const protocol::http::message& answer);
    [[nodiscard]] state::revision inEra(state::revision number) const
    {
        return m_era * state::revisionsPerEra + number;
    }
    void handlePage(const store_answer& page);
    void finishListing();
    void handleEvents(const store_answer& events);
    void handleUselessAnswer(state::revision known);
    void handleConnectionFailure(transport::loop::connection_failure reason);
    void handleHistoryGone();
    void handleOversizedWatch();
    void listAgain(const std::string& reasonIfRepeated);
    void addItems(const nlohmann::json& items);
    [[nodiscard]] std::chrono::milliseconds findWatchWait() const;
    double jitter();
    [[nodiscard]] state::duration silentFor() const;
    void handleFailure(const std::string& reason);
    void closeConnection();

    uv_loop_t* m_loop;
    std::string m_address;
    event_sink m_sink;
    log_sink m_log;
    std::shared_ptr<transport::loop::http_connection> m_connection;
    transport::loop::timer m_timeout;
    transport::loop::timer m_delay;
    pcg32 m_random;
    stage m_stage = stage::idle;
    std::size_t m_prefix = 0; ///< index of the prefix that is being listed
    std::string m_after; ///< last key of the previous page
    state::gateway::published_fleet m_items; ///< items of the current listing or of the latest watch response
    state::revision m_era = 0; ///< of the latest answer; see `state::eraOf`
    state::revision m_asOf = 0; ///< all changes up to this revision have been published; without its era
    state::revision m_listedAsOf = 0; ///< oldest revision of a page of the current listing; without its era
    bool m_listingNeeded = true;
    bool m_firstListing = true;
    /// Whether listings may be stale. A stale read costs a tenth of a consistent one, and the watch that follows
    /// returns the missing changes, unless the store has dropped the history after the stale revision.
    bool m_allowStale = true;
    bool m_following = false;
    store_state m_store = store_state::unknown;
    bool m_listedAgain = false; ///< no watch has been answered since one could not continue without a listing
    call_pacing m_pacing;
    std::size_t m_listedItems = 0; ///< of the prefix that is being listed
    state::duration m_maxSilence = std::chrono::milliseconds { 1300 };
    std::chrono::milliseconds m_watchWait {}; ///< requested by the current watch
    state::time_point m_watchStartedAt;
    state::time_point m_answeredAt; ///< when the store last gave a usable answer
    state::time_point m_restartAllowedAt;
    std::uint64_t m_calls = 0;
    std::uint64_t m_countedBytes = 0; ///< received on the connection when `m_timeout` was last started
    int m_extensions = 0; ///< of the time for the current answer
};

} // namespace acaciaslip::platform
