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
constexpr protocol::http::message_limits answerLimits { 65536, 16777216 }; ///< a page has about 1 MB
/// How long a watch may wait. A store that went silent is noticed this late, plus the patience below.
constexpr std::chrono::milliseconds watchWait { 2500 };
constexpr state::duration watchPatience = watchWait + std::chrono::milliseconds { 700 };
constexpr state::duration listPatience = std::chrono::milliseconds { 1000 };
/// Changes come in groups; watching again a little later reads a group with one call. Small beside the seconds within
/// which a change must be in force.
constexpr state::duration gatherChanges = std::chrono::milliseconds { 400 };
/// By then a host that has just started has heard whether others follow the store, and need not watch it.
constexpr state::duration beforeFirstWatch = std::chrono::milliseconds { 400 };
constexpr state::duration shortestPause = std::chrono::milliseconds { 100 };
constexpr state::duration longestPause = std::chrono::milliseconds { 800 };
constexpr std::uint32_t mostDoublings = 4;
constexpr int statusOk = 200;
constexpr int statusHistoryGone = 410;

} // namespace

store_client::store_client(uv_loop_t* loop, std::string address, event_sink sink, log_sink log)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_sink(std::move(sink))
    , m_log(std::move(log))
    , m_patience(loop, [this] { noteFailure("no answer in time"); })
    , m_pause(loop, [this] { callNext(); })
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
    m_pause.stop();
    m_patience.stop();
    closeLink();
}

void store_client::skipTo(state::revision known)
{
    if (known <= m_asOf || m_stage == stage::listing)
        return;
    m_asOf = known;
    m_mustList = false;
}

void store_client::hurry()
{
    if (!m_following || m_stage != stage::watching)
        return;
    m_patience.stop();
    closeLink();
    callNext();
}

void store_client::callNext()
{
    if (!m_following)
        return;
    if (m_mustList)
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
        m_read = {};
    }
    auto target = fmt::format("/kv-range?path-prefix={}", prefixes[m_prefix]);
    if (m_staleServes)
        target += "&allow-stale=1";
    if (!m_after.empty())
        target += fmt::format("&after={}", m_after);
    call(std::move(target), listPatience);
}

void store_client::watch()
{
    m_stage = stage::watching;
    call(fmt::format("/kv-watch?path-prefix=&after={}&wait-ms={}", m_asOf, watchWait.count()), watchPatience);
}

void store_client::call(std::string target, state::duration patience)
{
    if (!m_link || !m_link->isIdle()) {
        closeLink();
        const auto to = transport::loop::parseAddress(m_address);
        if (!to.ok())
            return noteFailure(std::string(to.status().message()));
        transport::loop::link_callbacks callbacks;
        callbacks.isAwaited = [](const protocol::http::message&) { return true; };
        callbacks.answered = [this](const protocol::http::message& answer) { noteAnswer(answer); };
        callbacks.failed = [this](transport::loop::link_failure reason) {
            noteFailure(reason == transport::loop::link_failure::not_connected ? "no connection" : "connection cut");
        };
        callbacks.idleClosed = [] {}; // the next call opens another
        m_link = transport::loop::http_link::open(m_loop, *to, answerLimits, std::move(callbacks));
    }
    ++m_calls;
    m_patience.start(patience);
    m_link->send(fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", target, m_address), false);
}

void store_client::noteAnswer(const protocol::http::message& answer)
{
    m_patience.stop();
    if (!m_following)
        return;
    if (answer.status == statusHistoryGone && m_stage == stage::watching) {
        m_log({ coordination::log_level::info, "store_history_gone", { { "after", std::to_string(m_asOf) } } });
        m_mustList = true;
        m_staleServes = false;
        return callNext();
    }
    if (answer.status != statusOk)
        return noteFailure(fmt::format("status {}", answer.status));
    const auto body = json::parse(answer.body, nullptr, false);
    if (!body.is_object() || !body.contains("as-of") || !body["as-of"].is_number_unsigned())
        return noteFailure("an answer that is not the store's");
    noteSuccess();
    if (m_stage == stage::listing)
        takePage(body);
    else
        takeEvents(body);
}

void store_client::addItems(const json& items)
{
    if (!items.is_array())
        return;
    for (const auto& item : items) {
        if (const auto status = addItem(item, m_read); !status.ok())
            m_log(
                { coordination::log_level::warning, "item_passed_over", { { "why", std::string(status.message()) } } });
    }
}

void store_client::takePage(const json& page)
{
    // Pages are no snapshot: only what the first one includes is sure to be in all of them.
    if (m_read.asOf == 0)
        m_read.asOf = page["as-of"].get<state::revision>();
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
    m_mustList = false;
    m_stage = stage::idle;
    m_asOf = m_read.asOf;
    m_sink(coordination::gateway::fleet_published {
        { true, 0, std::exchange(m_read, {}) }, coordination::gateway::fleet_source::store });
    if (std::exchange(m_firstListing, false))
        m_pause.start(beforeFirstWatch);
    else
        callNext();
}

void store_client::takeEvents(const json& events)
{
    const auto asOf = events["as-of"].get<state::revision>();
    const auto after = std::exchange(m_asOf, std::max(m_asOf, asOf));
    m_read = {};
    m_read.asOf = m_asOf;
    const auto items = events.value("events", json::array());
    addItems(items);
    if (m_asOf > after)
        m_sink(coordination::gateway::fleet_published {
            { false, after, std::exchange(m_read, {}) }, coordination::gateway::fleet_source::store });
    m_stage = stage::idle;
    m_staleServes = true;
    if (items.empty())
        callNext();
    else
        m_pause.start(gatherChanges);
}

void store_client::noteSuccess()
{
    m_failures = 0;
    if (std::exchange(m_lost, false))
        m_sink(coordination::gateway::store_regained {});
}

void store_client::noteFailure(const std::string& reason)
{
    m_patience.stop();
    closeLink();
    if (!m_following)
        return;
    m_stage = m_stage == stage::listing ? stage::listing : stage::idle;
    const auto doublings = std::min(m_failures++, mostDoublings);
    if (!std::exchange(m_lost, true))
        m_sink(coordination::gateway::store_lost { reason });
    const auto pause = std::min<state::duration>(shortestPause * (1U << doublings), longestPause);
    m_pause.start(pause / 2 + pause / 2 * m_random(1024) / 1024); // NOLINT: spread over the half
}

void store_client::closeLink()
{
    if (m_link)
        m_link->close();
    m_link.reset();
}

} // namespace acaciaslip::platform
