#include "platform/store_client.hpp"

#include "platform/item_reader.hpp"

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
constexpr protocol::http::message_limits responseLimits { 65536, 16777216 }; ///< bytes; a page has about 1 MB
/// Time for which the store may hold a watch open. An unresponsive store is detected after `watchTimeout`.
constexpr std::chrono::milliseconds watchWait { 2500 };
constexpr state::duration watchTimeout = watchWait + std::chrono::milliseconds { 700 };
constexpr state::duration listTimeout = std::chrono::milliseconds { 1000 };
/// Delay before the next watch. Changes arrive in bursts, and a short delay lets one call read a whole burst. It is
/// small compared with the seconds within which a change must take effect.
constexpr state::duration changeBatchDelay = std::chrono::milliseconds { 400 };
/// Delay of the first watch. Within this time a newly started host learns from heartbeats whether other hosts follow
/// the store, in which case it does not need to watch it.
constexpr state::duration firstWatchDelay = std::chrono::milliseconds { 400 };
constexpr state::duration minBackoff = std::chrono::milliseconds { 100 };
constexpr state::duration maxBackoff = std::chrono::milliseconds { 800 };
constexpr std::uint32_t maxBackoffDoublings = 4;
constexpr int statusOk = 200;
constexpr int statusGone = 410;

} // namespace

store_client::store_client(uv_loop_t* loop, std::string address, event_sink sink, log_sink log)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_sink(std::move(sink))
    , m_log(std::move(log))
    , m_timeout(loop, [this] { handleFailure("request timed out"); })
    , m_delay(loop, [this] { callNext(); })
    , m_random(std::random_device {}())
{
}

void store_client::start()
{
    if (!std::exchange(m_following, true))
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

void store_client::skipTo(state::revision known)
{
    if (known <= m_asOf || m_stage == stage::listing)
        return;
    m_asOf = known;
    m_listingNeeded = false;
}

void store_client::restartWatch()
{
    if (!m_following || m_stage != stage::watching)
        return;
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
        m_after.clear();
        m_items = {};
    }
    auto target = fmt::format("/kv-range?path-prefix={}", prefixes[m_prefix]);
    if (m_allowStale)
        target += "&allow-stale=1";
    if (!m_after.empty())
        target += fmt::format("&after={}", m_after);
    call(std::move(target), listTimeout);
}

void store_client::watch()
{
    m_stage = stage::watching;
    call(fmt::format("/kv-watch?path-prefix=&after={}&wait-ms={}", m_asOf, watchWait.count()), watchTimeout);
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
        callbacks.failed = [this](transport::loop::connection_failure reason) {
            handleFailure(
                reason == transport::loop::connection_failure::not_connected ? "no connection" : "connection lost");
        };
        callbacks.closedWhileIdle = [] {}; // the next call opens a new connection
        m_connection = transport::loop::http_connection::open(m_loop, *to, responseLimits, std::move(callbacks));
    }
    ++m_calls;
    m_timeout.start(timeout);
    m_connection->send(fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", target, m_address), false);
}

void store_client::handleResponse(const protocol::http::message& answer)
{
    m_timeout.stop();
    if (!m_following)
        return;
    if (answer.status == statusGone && m_stage == stage::watching) {
        m_log({ coordination::log_level::info, "store_history_gone", { { "after", std::to_string(m_asOf) } } });
        m_listingNeeded = true;
        m_allowStale = false;
        return callNext();
    }
    if (answer.status != statusOk)
        return handleFailure(fmt::format("status {}", answer.status));
    const auto body = json::parse(answer.body, nullptr, false);
    if (!body.is_object() || !body.contains("as-of") || !body["as-of"].is_number_unsigned())
        return handleFailure("malformed response");
    handleSuccess();
    if (m_stage == stage::listing)
        handlePage(body);
    else
        handleEvents(body);
}

void store_client::addItems(const json& items)
{
    if (!items.is_array())
        return;
    for (const auto& item : items) {
        if (const auto status = addItem(item, m_items); !status.ok())
            m_log(
                { coordination::log_level::warning, "item_passed_over", { { "why", std::string(status.message()) } } });
    }
}

void store_client::handlePage(const json& page)
{
    // Pages do not form a consistent snapshot: only revisions up to the first page's are included in all of them.
    if (m_items.asOf == 0)
        m_items.asOf = page["as-of"].get<state::revision>();
    const auto items = page.value("items", json::array());
    addItems(items);
    if (page.value("has-more", false) && !items.empty() && items.back().contains("key")) {
        m_after = items.back()["key"].get<std::string>();
        return callNext();
    }
    m_after.clear();
    if (++m_prefix < prefixes.size())
        return callNext();
    finishListing();
}

void store_client::finishListing()
{
    m_listingNeeded = false;
    m_stage = stage::idle;
    m_asOf = m_items.asOf;
    m_sink(coordination::gateway::fleet_update_received {
        { true, 0, std::exchange(m_items, {}) }, coordination::gateway::fleet_source::store });
    if (std::exchange(m_firstListing, false))
        m_delay.start(firstWatchDelay);
    else
        callNext();
}

void store_client::handleEvents(const json& events)
{
    const auto asOf = events["as-of"].get<state::revision>();
    const auto after = std::exchange(m_asOf, std::max(m_asOf, asOf));
    m_items = {};
    m_items.asOf = m_asOf;
    const auto items = events.value("events", json::array());
    addItems(items);
    if (m_asOf > after)
        m_sink(coordination::gateway::fleet_update_received {
            { false, after, std::exchange(m_items, {}) }, coordination::gateway::fleet_source::store });
    m_stage = stage::idle;
    m_allowStale = true;
    if (items.empty())
        callNext();
    else
        m_delay.start(changeBatchDelay);
}

void store_client::handleSuccess()
{
    m_failures = 0;
    if (std::exchange(m_lost, false))
        m_sink(coordination::gateway::store_recovered {});
}

void store_client::handleFailure(const std::string& reason)
{
    m_timeout.stop();
    closeConnection();
    if (!m_following)
        return;
    m_stage = m_stage == stage::listing ? stage::listing : stage::idle;
    const auto doublings = std::min(m_failures++, maxBackoffDoublings);
    if (!std::exchange(m_lost, true))
        m_sink(coordination::gateway::store_lost { reason });
    const auto backoff = std::min<state::duration>(minBackoff * (1U << doublings), maxBackoff);
    m_delay.start(backoff / 2 + backoff / 2 * m_random(1024) / 1024); // NOLINT: jitter over the upper half
}

void store_client::closeConnection()
{
    if (m_connection)
        m_connection->close();
    m_connection.reset();
}

} // namespace acaciaslip::platform
