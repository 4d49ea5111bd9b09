#include "protocol/http/body_reader.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace acaciaslip::protocol::http {

namespace {

constexpr std::size_t maxLineBytes = 256;
constexpr std::size_t maxTrailerBytes = 16384;
/// Limit on the framing of chunks, in addition to `maxFramingPerByte` bytes for each byte of content. Many tiny chunks
/// cost far more processor time than their content.
constexpr std::size_t freeFramingBytes = 16384;
constexpr std::size_t maxFramingPerByte = 2;
constexpr std::size_t lineEndsPerChunk = 4; ///< bytes of the CRLF after the size and after the content
constexpr std::size_t maxSizeDigits = 15;
constexpr std::size_t maxReservedBytes = 65536; ///< limit on memory reserved from a declared length alone
constexpr int hexadecimal = 16;

} // namespace

body_reader::body_reader(body_framing framing, std::uint64_t length, std::uint64_t maxBytes) noexcept
    : m_remaining(framing == body_framing::length ? length : 0)
    , m_maxBytes(maxBytes)
{
    if (framing == body_framing::chunked)
        m_stage = stage::chunk_size;
    else if (framing == body_framing::until_close)
        m_stage = stage::until_close;
    else if (m_remaining > 0)
        m_stage = stage::content;
}

parse_status body_reader::consume(std::string_view& input)
{
    while (m_stage != stage::complete) {
        if (input.empty())
            return parse_status::incomplete;
        if (m_stage == stage::until_close) {
            if (input.size() > m_maxBytes - m_content.size())
                return parse_status::body_too_large;
            m_content.append(std::exchange(input, {}));
            return parse_status::incomplete;
        }
        if (m_stage == stage::content || m_stage == stage::chunk) {
            takeContent(input);
            continue;
        }
        const auto progress = takeLine(input);
        if (progress != parse_status::complete)
            return progress;
        if (const auto used = processLine(); used != parse_status::incomplete)
            return used;
    }
    return parse_status::complete;
}

/// Collects a line up to its CRLF.
/// \return complete when m_line holds the line without its CRLF
parse_status body_reader::takeLine(std::string_view& input)
{
    const auto end = input.find('\n');
    const auto consumed = end == std::string_view::npos ? input.size() : end + 1;
    if (m_line.size() + consumed > maxLineBytes)
        return parse_status::malformed;
    m_line.append(input.substr(0, consumed));
    input.remove_prefix(consumed);
    if (end == std::string_view::npos)
        return parse_status::incomplete;
    if (m_line.size() < 2 || m_line[m_line.size() - 2] != '\r')
        return parse_status::malformed;
    m_line.resize(m_line.size() - 2);
    if (m_line.find('\r') != std::string::npos || m_line.find('\0') != std::string::npos)
        return parse_status::malformed;
    return parse_status::complete;
}

/// Processes the collected line.
/// \return incomplete when the body continues
parse_status body_reader::processLine()
{
    const bool isEmpty = m_line.empty();
    switch (m_stage) {
    case stage::chunk_size:
        return startChunk();
    case stage::chunk_end:
        if (!isEmpty)
            return parse_status::malformed;
        m_stage = stage::chunk_size;
        return parse_status::incomplete;
    default: // trailers are parsed and discarded
        m_trailerBytes += m_line.size();
        if (m_trailerBytes > maxTrailerBytes || (!isEmpty && !readFieldLine(m_line)))
            return parse_status::malformed;
        m_line.clear();
        if (!isEmpty)
            return parse_status::incomplete;
        m_stage = stage::complete;
        return parse_status::complete;
    }
}

parse_status body_reader::startChunk()
{
    const auto digits = std::min(m_line.find(';'), m_line.size());
    std::uint64_t size = 0;
    const auto [end, error] = std::from_chars(m_line.data(), m_line.data() + digits, size, hexadecimal);
    if (error != std::errc {} || end != m_line.data() + digits || digits == 0 || digits > maxSizeDigits)
        return parse_status::malformed;
    m_framingBytes += m_line.size() + lineEndsPerChunk;
    m_line.clear();
    if (m_framingBytes > freeFramingBytes + maxFramingPerByte * m_content.size())
        return parse_status::malformed;
    if (size > m_maxBytes - m_content.size())
        return parse_status::body_too_large;
    m_remaining = size;
    m_stage = size == 0 ? stage::trailer : stage::chunk;
    return parse_status::incomplete;
}

void body_reader::takeContent(std::string_view& input)
{
    const auto consumed = static_cast<std::size_t>(std::min<std::uint64_t>(m_remaining, input.size()));
    if (m_content.empty())
        m_content.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(m_remaining, maxReservedBytes)));
    m_content.append(input.substr(0, consumed));
    input.remove_prefix(consumed);
    m_remaining -= consumed;
    if (m_remaining == 0)
        m_stage = m_stage == stage::chunk ? stage::chunk_end : stage::complete;
}

} // namespace acaciaslip::protocol::http
