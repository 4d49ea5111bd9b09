#include "protocol/http/message_parser.hpp"

#include <algorithm>
#include <utility>

namespace acaciaslip::protocol::http {

namespace {

constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::string_view statusLineStart = "HTTP/";
constexpr int firstFinalStatus = 200;

/// Whether the received bytes can be the start of a head. Data that is not HTTP is rejected without waiting for more.
bool canStartHead(std::string_view received, message_side side) noexcept
{
    if (side == message_side::requests)
        return received.empty() || isToken(received.substr(0, 1));
    return statusLineStart.starts_with(received.substr(0, statusLineStart.size()));
}

} // namespace

message_parser::message_parser(message_side side, message_limits limits)
    : m_side(side)
    , m_limits(limits)
{
}

parse_status message_parser::consume(std::string_view& input)
{
    if (m_stage == stage::head) {
        if (const auto progress = takeHead(input); progress != parse_status::complete)
            return progress;
    }
    if (m_stage == stage::body) {
        const auto progress = m_body.consume(input);
        if (!reserveMemory())
            return parse_status::no_memory;
        if (progress != parse_status::complete)
            return progress;
        m_stage = stage::complete;
    }
    return parse_status::complete;
}

/// Collects the bytes of the head and parses it once it is complete.
parse_status message_parser::takeHead(std::string_view& input)
{
    const auto before = m_head.size();
    const auto searched = before - std::min(before, headEnd.size() - 1);
    const auto room = m_limits.headBytes + 1 - std::min(before, m_limits.headBytes);
    m_head.append(input.substr(0, room));
    const auto end = m_head.find(headEnd, searched);
    if (!canStartHead(m_head, m_side))
        return parse_status::malformed;
    if (end == std::string::npos) {
        input.remove_prefix(m_head.size() - before);
        return m_head.size() > m_limits.headBytes ? parse_status::head_too_large : parse_status::incomplete;
    }
    m_head.resize(end + headEnd.size());
    input.remove_prefix(m_head.size() - before);
    auto limits = m_limits;
    limits.bodyBytes = std::min(limits.bodyBytes, m_maxNextBody);
    auto read = m_side == message_side::requests ? readRequestHead(m_head, limits)
                                                 : readAnswerHead(m_head, m_expectNoBody, limits);
    if (const auto* error = std::get_if<parse_status>(&read))
        return *error;
    auto& head = std::get<message_head>(read);
    m_current = std::move(head.partialMessage);
    m_body = body_reader(head.framing, head.bodyLength, limits.bodyBytes);
    m_declaredLength = head.bodyLength;
    m_stage = stage::body;
    return parse_status::complete;
}

/// Adjusts the reservation of the current message to its declared or received size.
bool message_parser::reserveMemory()
{
    if (!m_budget)
        return true;
    if (!m_current.memory)
        m_current.memory = std::make_shared<coordination::memory_reservation>(m_budget);
    const std::uint64_t body = std::max<std::uint64_t>(m_declaredLength, m_body.content().size());
    return m_current.memory->resize(m_head.size() + body);
}

parse_status message_parser::finish()
{
    if (!hasPartialMessage())
        return parse_status::incomplete;
    if (m_stage == stage::body && m_current.closeDelimited)
        m_stage = stage::complete;
    return m_stage == stage::complete ? parse_status::complete : parse_status::malformed;
}

void message_parser::expectNoBody() noexcept
{
    m_expectNoBody = true;
}

bool message_parser::hasPartialMessage() const noexcept
{
    return !m_head.empty();
}

bool message_parser::takeExpectsContinue() noexcept
{
    return m_stage == stage::body && std::exchange(m_current.expectsContinue, false);
}

message message_parser::takeMessage()
{
    m_current.body = std::move(m_body.content());
    m_stage = stage::head;
    m_head.clear();
    m_declaredLength = 0;
    // After an interim response, the flag still applies to the final response that follows it.
    const bool isInterim = m_current.status != 0 && m_current.status < firstFinalStatus;
    m_expectNoBody &= isInterim;
    if (!isInterim)
        m_maxNextBody = UINT64_MAX;
    return std::exchange(m_current, {});
}

} // namespace acaciaslip::protocol::http
