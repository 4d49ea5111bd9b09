#include "transport/value_reader.hpp"

#include "transport/address.hpp"

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <httplib.h>

namespace acaciaslip::transport {

namespace {

constexpr std::size_t threads = 16;
constexpr std::size_t ringCapacity = 256;
constexpr std::chrono::milliseconds connectTimeout { 500 };
constexpr std::chrono::milliseconds answerMargin { 1000 };
constexpr int statusOk = 200;
constexpr int statusNotModified = 304;
constexpr int statusNotFound = 404;

} // namespace

value_reader::value_reader(decision_thread& decisions)
    : m_decisions(decisions)
    , m_workers(
          "read_values", threads, ringCapacity, [this](const coordination::fetch_value& wanted) { carryOut(wanted); })
{
}

void value_reader::read(coordination::fetch_value wanted)
{
    coordination::value_read_failed failed { wanted.key, wanted.source, wanted.address, wanted.askedAt };
    if (!m_workers.tryPush(std::move(wanted)))
        (void)m_decisions.tryPost(std::move(failed));
}

void value_reader::stop()
{
    m_workers.stop();
}

void value_reader::carryOut(const coordination::fetch_value& wanted)
{
    const coordination::value_read_failed failed { wanted.key, wanted.source, wanted.address, wanted.askedAt };
    const auto parsed = parseAddress(wanted.address);
    if (!parsed.ok())
        return m_decisions.post(failed);
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(wanted.wait);
    httplib::Client client(parsed->ip, parsed->port);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(wait + answerMargin);
    const auto answer
        = client.Get(fmt::format("/v1/values/{}?after={}&wait_ms={}", wanted.key, wanted.after, wait.count()));
    if (!answer)
        return m_decisions.post(failed);
    coordination::value_received received { wanted.key, 0, {}, wanted.source, wanted.address, wanted.askedAt };
    if (answer->status == statusOk && absl::SimpleAtoi(answer->get_header_value("Revision"), &received.number))
        received.body = answer->body;
    else if (answer->status != statusNotModified && answer->status != statusNotFound)
        return m_decisions.post(failed);
    m_decisions.post(std::move(received));
}

} // namespace acaciaslip::transport
