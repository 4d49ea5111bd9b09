#include "transport/answer_stream.hpp"

#include <algorithm>
#include <cstring>

namespace acaciaslip::transport {

namespace {

constexpr std::size_t mostGatheredBytes = 65536;
constexpr std::string_view headEnd = "\r\n\r\n";
constexpr int mostInterimAnswers = 8;
constexpr int statusSwitchingProtocols = 101;
constexpr int statusOk = 200;

} // namespace

ssize_t answer_stream::write(const char* from, size_t size)
{
    m_output.append(from, size);
    if (m_output.size() >= mostGatheredBytes && !flush())
        return -1;
    return static_cast<ssize_t>(size);
}

ssize_t answer_stream::read(char* to, size_t size)
{
    if (m_state == answer_state::not_read && flush())
        m_state = receive();
    if (m_state != answer_state::whole)
        return -1;
    const auto given = std::min(size, m_head.checked.size() - m_headRead);
    std::memcpy(to, m_head.checked.data() + m_headRead, given);
    m_headRead += given;
    return static_cast<ssize_t>(given);
}

bool answer_stream::flush()
{
    if (m_connection.bytesWritten() == 0 && !m_mayWrite()) {
        m_expired = true;
        return false;
    }
    const bool written = m_connection.write(m_output);
    m_output.clear();
    return written;
}

answer_state answer_stream::receive()
{
    if (const auto read = receiveHead(); read != answer_state::whole)
        return read;
    m_body = protocol::body_reader(m_head.framing, m_head.bodyLength, m_limits.bodyBytes);
    for (;;) {
        auto input = m_connection.unread();
        const auto before = input.size();
        const auto progress = m_body.take(input);
        m_connection.consume(before - input.size());
        if (progress == protocol::body_progress::whole)
            return answer_state::whole;
        if (progress != protocol::body_progress::more)
            return answer_state::malformed;
        if (!m_connection.fill())
            return answer_state::ended;
    }
}

/// Reads heads until the final one.
answer_state answer_stream::receiveHead()
{
    for (int interim = 0; interim <= mostInterimAnswers;) {
        const auto unread = m_connection.unread();
        const auto end = unread.find(headEnd);
        if (end == std::string_view::npos) {
            if (unread.size() > m_limits.headBytes)
                return answer_state::malformed;
            if (!m_connection.fill())
                return answer_state::ended;
            continue;
        }
        const auto size = end + headEnd.size();
        auto head = protocol::readAnswerHead(unread.substr(0, size), m_toHead, m_limits);
        m_connection.consume(size);
        if (!head || head->status == statusSwitchingProtocols)
            return answer_state::malformed;
        if (head->status >= statusOk) {
            m_head = std::move(*head);
            return answer_state::whole;
        }
        ++interim;
    }
    return answer_state::malformed;
}

} // namespace acaciaslip::transport
