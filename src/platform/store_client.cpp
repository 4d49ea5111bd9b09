#include "platform/store_client.hpp"

#include "platform/item_reader.hpp"
#include "platform/store_answer.hpp"
#include "transport/loop/boot_clock.hpp"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace acaciaslip::platform {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 2> prefixes { operatorPrefix, serverPrefix };
/// Bytes. A page has about 1 MB; parsed JSON takes several times the size of its text.
constexpr protocol::http::message_limits responseLimits { 65536, 4194304 };
/// Time that the store needs for an answer, including the network and a busy host.
constexpr state::duration answerMargin = std::chrono::milliseconds { 400 };
/// Bytes that must arrive within `answerMargin` once an answer's time is over. A value of the largest size then arrives
/// within the time that a change may take.
constexpr std::uint64_t minAnswerBytes = 65536;
constexpr int maxAnswerExtensions = 8; ///< by `answerMargin` each
constexpr std::chrono::milliseconds minWatchWait { 200 };
/// Wait of a watch while it is unknown whether the store is reachable. The store then responds immediately, so that a
/// lost response is noticed early.
constexpr std::chrono::milliseconds recoveryWait { 1 };
constexpr state::duration listTimeout = std::chrono::milliseconds { 1000 };
/// Delay before the next watch. Changes arrive in bursts, and a short delay lets one call read a whole burst. It is
/// small compared with the seconds within which a change must take effect.
constexpr state::duration changeBatchDelay = std::chrono::milliseconds { 400 };
/// Delay of the first watch. Within this time a newly started host of a large fleet learns from heartbeats whether
/// other hosts follow the store, in which case it does not need to watch it. Its peers meanwhile send it changes.
constexpr state::duration firstWatchDelay = std::chrono::milliseconds { 1500 };
/// Minimum time between two watches that are ended early because a peer has newer data.
constexpr state::duration minRestartInterval = std::chrono::milliseconds { 800 };
constexpr std::size_t maxListedItems = 65536; ///< of one prefix; a listing that does not end is given up
constexpr std::uint32_t jitterSteps = 1024;
constexpr int statusOk = 200;
constexpr int statusGone = 410;
constexpr std::string_view eraHeader = "Store-Era"; ///< rises when the store is restored from a copy
constexpr std::uint64_t maxEra = 1'000'000; ///< keeps revisions within the range of the messages between hosts

} // namespace

store_client::store_client(uv_loop_t* loop, std::string address, event_sink sink, log_sink log)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_sink(std::move(sink))
    , m_log(std::move(log))
    , m_timeout(loop, [this] { handleTimeout(); })
    , m_delay(loop, [this] { callNext(); })
    , m_random(std::random_device {}())
{
}

double store_client::jitter()
{
    return static_cast<double>(m_random(jitterSteps)) / jitterSteps;
}

void store_client::start()
{
    if (std::exchange(m_following, true))
        return;
    m_store = store_state::unknown;
    m_pacing.failures = 0;
    callNext();
}

void store_client::stop()
{
    m_following = false;
    m_stage = stage::idle;
    m_delay.stop();
    m_timeout.stop();
    closeConnection();
}

void store_client::setAddress(std::string address)
{
    if (address == m_address)
        return;
    m_address = std::move(address);
    closeConnection(); // otherwise it stays in use as long as the store at the old address answers
    if (!m_following)
        return;
    m_timeout.stop();
    m_delay.stop();
    m_stage = stage::idle; // a listing does not continue with pages of another store
    callNext();
}

void store_client::skipTo(state::revision known)
{
    if (known <= inEra(m_asOf) || m_stage == stage::listing)
        return;
    m_era = state::eraOf(known);
    m_asOf = known % state::revisionsPerEra;
    m_listingNeeded = false;
}

void store_client::restartWatch()
{
    const auto now = transport::loop::bootNow();
    if (!m_following || m_stage != stage::watching || now < m_restartAllowedAt)
        return;
    m_restartAllowedAt = now + minRestartInterval;
    m_timeout.stop();
    closeConnection();
    callNext();
}

void store_client::callNext()
{
    if (!m_following)
        return;
    if (m_listingNeeded)
        list();
    else
        watch();
}

void store_client::list()
{
    if (m_stage != stage::listing) {
        m_stage = stage::listing;
        m_prefix = 0;
        m_listedItems = 0;
        m_after.clear();
        m_items = {};
    }
    auto target = fmt::format("/kv-range?path-prefix={}", prefixes[m_prefix]);
    if (m_allowStale)
        target += "&allow-stale=1";
    if (!m_after.empty())
        target += fmt::format("&after={}", encodeQueryValue(m_after));
    call(std::move(target), answerTimeout(m_pacing, listTimeout));
}

/// The store is given up when it has not answered for `m_maxSilence`, so a watch that starts later waits less.
std::chrono::milliseconds store_client::findWatchWait() const
{
    if (m_store != store_state::answers || m_pacing.failures > 0)
        return recoveryWait;
    const auto sinceAnswer = std::min(transport::loop::bootNow() - m_answeredAt, m_maxSilence);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_maxSilence - answerMargin - sinceAnswer);
    return std::max(left, minWatchWait);
}

void store_client::watch()
{
    m_stage = stage::watching;
    m_watchWait = findWatchWait();
    m_watchStartedAt = transport::loop::bootNow();
    call(fmt::format("/kv-watch?path-prefix=&after={}&wait-ms={}", m_asOf, m_watchWait.count()),
        m_watchWait + answerTimeout(m_pacing, answerMargin));
}

void store_client::call(std::string target, state::duration timeout)
{
    if (!m_connection || !m_connection->isIdle()) {
        closeConnection();
        const auto to = transport::loop::parseAddress(m_address);
        if (!to.ok())
            return handleFailure(std::string(to.status().message()));
        transport::loop::http_connection_callbacks callbacks;
        callbacks.isExpected = [](const protocol::http::message&) { return true; };
        callbacks.answered = [this](const protocol::http::message& answer) { handleResponse(answer); };
        callbacks.failed = [this](transport::loop::connection_failure reason) { handleConnectionFailure(reason); };
        callbacks.closedWhileIdle = [] {}; // the next call opens a new connection
        m_connection = transport::loop::http_connection::open(m_loop, *to, responseLimits, std::move(callbacks));
    }
    ++m_calls;
    m_countedBytes = m_connection->receivedBytes();
    m_extensions = 0;
    m_timeout.start(timeout);
    m_connection->send(fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", target, m_address));
}

/// A large answer may take longer than its time over a thin link, so it is read as long as enough bytes arrive.
void store_client::handleTimeout()
{
    const auto received = m_connection ? m_connection->receivedBytes() : m_countedBytes;
    const bool progresses = received - std::exchange(m_countedBytes, received) >= minAnswerBytes;
    if (!progresses || m_extensions++ >= maxAnswerExtensions)
        return handleFailure("request timed out");
    m_timeout.start(answerMargin);
}

void store_client::handleResponse(const protocol::http::message& answer)
{
    m_timeout.stop();
    if (!m_following)
        return;
    const bool isUsable = answer.status == statusOk || (answer.status == statusGone && m_stage == stage::watching);
    if (isUsable && !acceptEra(answer))
        return;
    if (answer.status == statusGone && m_stage == stage::watching) {
        reportAnswer();
        return handleHistoryGone();
    }
    if (answer.status != statusOk)
        return handleFailure(fmt::format("status {}", answer.status));
    const auto read = readStoreAnswer(answer.body, m_stage == stage::listing ? "items" : "events", m_after);
    if (!read.ok())
        return handleFailure(std::string(read.status().message()));
    m_answeredAt = transport::loop::bootNow();
    reportAnswer();
    if (m_stage == stage::listing)
        handlePage(*read);
    else
        handleEvents(*read);
}

bool store_client::acceptEra(const protocol::http::message& answer)
{
    const auto header = protocol::http::findHeader(answer, eraHeader);
    if (!header)
        return true;
    const auto era = protocol::http::parseUnsigned(*header);
    if (!era || *era > maxEra) {
        handleFailure(fmt::format("header '{}' is not a whole number up to {}", eraHeader, maxEra));
        return false;
    }
    if (*era < m_era) {
        handleFailure("answer of an earlier era");
        return false;
    }
    const auto before = std::exchange(m_era, *era);
    const bool isFirst = m_asOf == 0 && m_items.asOf == 0;
    if (before == m_era || isFirst)
        return true;
    m_log({ coordination::log_level::warning, "store_restored",
        { { "era", std::to_string(m_era) }, { "revision", std::to_string(m_asOf) } } });
    m_listingNeeded = true;
    m_allowStale = false;
    m_stage = stage::idle;
    reportAnswer();
    callNext();
    return false;
}

void store_client::reportAnswer()
{
    if (std::exchange(m_store, store_state::answers) != store_state::answers)
        m_sink(coordination::gateway::store_recovered {});
}

void store_client::handleConnectionFailure(transport::loop::connection_failure reason)
{
    using transport::loop::connection_failure;
    if (reason == connection_failure::too_large && m_stage == stage::watching)
        return handleOversizedWatch();
    const bool tooLarge = reason == connection_failure::too_large;
    handleFailure(tooLarge                                ? "answer too large"
            : reason == connection_failure::not_connected ? "no connection"
                                                          : "connection lost");
}

/// The store has dropped the history that a watch needs.
void store_client::handleHistoryGone()
{
    m_log({ coordination::log_level::info, "store_history_gone", { { "after", std::to_string(m_asOf) } } });
    listAgain("history gone again after a listing");
}

/// The same watch would be answered with at least as many changes again. A listing has pages of bounded size.
void store_client::handleOversizedWatch()
{
    m_timeout.stop();
    closeConnection();
    m_log({ coordination::log_level::warning, "store_watch_too_large",
        { { "after", std::to_string(m_asOf) }, { "max_bytes", std::to_string(responseLimits.bodyBytes) } } });
    m_answeredAt = transport::loop::bootNow();
    reportAnswer();
    listAgain("watch answer too large again after a listing");
}

/// Lists all items, because the watch cannot continue. If the last listing was for the same reason and no watch has
/// been answered since, the next one waits like after a failure.
void store_client::listAgain(const std::string& reasonIfRepeated)
{
    m_listingNeeded = true;
    m_allowStale = false;
    if (std::exchange(m_listedAgain, true))
        return handleFailure(reasonIfRepeated);
    m_stage = stage::idle;
    callNext();
}

/// Adds the items that can be read, and logs one line for all others.
void store_client::addItems(const json& items)
{
    std::size_t unreadable = 0;
    std::string reason;
    for (const auto& item : items) {
        const auto status = addItem(item, m_items, m_era);
        if (!status.ok() && ++unreadable == 1)
            reason = std::string(status.message());
    }
    if (unreadable > 0)
        m_log({ coordination::log_level::warning, "item_passed_over",
            { { "why", reason }, { "count", std::to_string(unreadable) } } });
}

void store_client::handlePage(const store_answer& page)
{
    // Pages do not form a consistent snapshot, and a stale read may be older than the page before it: only revisions up
    // to the oldest page's are included in all of them.
    const bool isFirst = m_prefix == 0 && m_after.empty();
    m_listedAsOf = isFirst ? page.asOf : std::min(m_listedAsOf, page.asOf);
    m_items.asOf = inEra(m_listedAsOf);
    addItems(page.items);
    m_listedItems += page.items.size();
    if (m_listedItems > maxListedItems) {
        m_stage = stage::idle; // the next listing starts from the first page
        return handleFailure("the listing does not end");
    }
    if (page.nextPageAfter) {
        m_after = *page.nextPageAfter;
        return callNext();
    }
    m_after.clear();
    m_listedItems = 0;
    if (++m_prefix < prefixes.size())
        return callNext();
    finishListing();
}

void store_client::finishListing()
{
    m_listingNeeded = false;
    m_stage = stage::idle;
    m_asOf = m_listedAsOf;
    if (!m_listedAgain)
        recordUsefulAnswer(m_pacing);
    m_sink(coordination::gateway::fleet_update_received {
        { true, 0, std::exchange(m_items, {}) }, coordination::gateway::fleet_source::store });
    m_sink(coordination::gateway::store_answered {});
    if (std::exchange(m_firstListing, false))
        m_delay.start(firstWatchDelay);
    else
        callNext();
}

void store_client::handleEvents(const store_answer& events)
{
    const auto after = std::exchange(m_asOf, std::max(m_asOf, events.asOf));
    const bool isNew = m_asOf > after;
    const bool isEarly = transport::loop::bootNow() - m_watchStartedAt < m_watchWait / 2;
    m_stage = stage::idle;
    m_allowStale = true;
    m_listedAgain = false;
    if (!isNew && isEarly)
        return handleUselessAnswer(after);
    recordUsefulAnswer(m_pacing);
    m_items = {};
    m_items.asOf = inEra(m_asOf);
    addItems(events.items);
    if (isNew)
        m_sink(coordination::gateway::fleet_update_received {
            { false, inEra(after), std::exchange(m_items, {}) }, coordination::gateway::fleet_source::store });
    m_sink(coordination::gateway::store_answered {});
    if (isEarly || !events.items.empty())
        m_delay.start(changeBatchDelay);
    else
        callNext();
}

/// Events without a newer revision are ignored: they are already known or cannot be ordered.
void store_client::handleUselessAnswer(state::revision known)
{
    const auto delay = delayAfterUselessAnswer(m_pacing, jitter());
    if (m_pacing.uselessAnswers == 1)
        m_log({ coordination::log_level::warning, "store_answer_useless",
            { { "why", "the watch was answered early with nothing new" }, { "revision", std::to_string(known) } } });
    m_delay.start(delay);
}

void store_client::handleFailure(const std::string& reason)
{
    m_timeout.stop();
    closeConnection();
    if (!m_following)
        return;
    m_stage = m_stage == stage::listing ? stage::listing : stage::idle;
    if (std::exchange(m_store, store_state::lost) != store_state::lost)
        m_sink(coordination::gateway::store_lost { reason, silentFor() });
    m_delay.start(delayAfterFailure(m_pacing, jitter()));
}

state::duration store_client::silentFor() const
{
    return m_answeredAt == state::time_point {} ? state::duration {} : transport::loop::bootNow() - m_answeredAt;
}

void store_client::closeConnection()
{
    if (m_connection)
        m_connection->close();
    m_connection.reset();
}

} // namespace acaciaslip::platform
