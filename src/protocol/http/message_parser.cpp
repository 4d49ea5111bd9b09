#include "protocol/http/message_parser.hpp"

#include "protocol/http_head.hpp"

#include <algorithm>
#include <utility>

#include <http_parser.h>

namespace acaciaslip::protocol::http {

namespace {

constexpr int goOn = 0;
constexpr int skipBody = 1;
constexpr int stop = -1;

bool mayHaveBody(const message& answer) noexcept
{
    constexpr int firstFinal = 200;
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    return answer.status >= firstFinal && answer.status != noContent && answer.status != notModified;
}

} // namespace

/// State of the library's parser and of the message that it fills.
struct message_parser::parts {
    ::http_parser parser {};
    message_side side = message_side::requests;
    message_limits limits;
    message current;
    std::size_t headBytes = 0;
    bool begun = false;
    bool whole = false;
    bool noBody = false;
    bool valueLast = true; ///< the header that was read last has a value already
    parse_progress problem = parse_progress::malformed;

    static parts& of(::http_parser* parser) { return *static_cast<parts*>(parser->data); }

    int refuse(parse_progress reason)
    {
        problem = reason;
        return stop;
    }

    int countHead(std::size_t length)
    {
        headBytes += length;
        return headBytes > limits.headBytes ? refuse(parse_progress::head_too_large) : goOn;
    }

    static int onBegin(::http_parser* parser)
    {
        auto& self = of(parser);
        self.current = {};
        self.headBytes = 0;
        self.whole = false;
        self.begun = true;
        self.valueLast = true;
        return goOn;
    }

    static int onTarget(::http_parser* parser, const char* text, std::size_t length)
    {
        of(parser).current.target.append(text, length);
        return of(parser).countHead(length);
    }

    static int onReason(::http_parser* parser, const char* text, std::size_t length)
    {
        of(parser).current.reason.append(text, length);
        return of(parser).countHead(length);
    }

    static int onName(::http_parser* parser, const char* text, std::size_t length)
    {
        auto& self = of(parser);
        if (self.valueLast)
            self.current.headers.emplace_back();
        self.valueLast = false;
        self.current.headers.back().name.append(text, length);
        return self.countHead(length);
    }

    static int onValue(::http_parser* parser, const char* text, std::size_t length)
    {
        auto& self = of(parser);
        self.valueLast = true;
        self.current.headers.back().value.append(text, length);
        return self.countHead(length);
    }

    static int onHead(::http_parser* parser)
    {
        auto& self = of(parser);
        auto& current = self.current;
        if (self.side == message_side::requests)
            current.method = ::http_method_str(static_cast<::http_method>(parser->method));
        else
            current.status = static_cast<int>(parser->status_code);
        const auto expect = findHeader(current, "Expect");
        current.expectsContinue = expect && equalsIgnoringCase(*expect, "100-continue");
        const bool hasLength = parser->content_length != ~std::uint64_t { 0 };
        if (hasLength && parser->content_length > self.limits.bodyBytes)
            return self.refuse(parse_progress::body_too_large);
        const bool isChunked = (parser->flags & F_CHUNKED) != 0;
        current.endsWithConnection
            = self.side == message_side::answers && !self.noBody && !hasLength && !isChunked && mayHaveBody(current);
        return self.noBody ? skipBody : goOn;
    }

    static int onBody(::http_parser* parser, const char* text, std::size_t length)
    {
        auto& self = of(parser);
        if (self.current.body.size() + length > self.limits.bodyBytes)
            return self.refuse(parse_progress::body_too_large);
        self.current.body.append(text, length);
        return goOn;
    }

    static int onWhole(::http_parser* parser)
    {
        auto& self = of(parser);
        self.current.keepAlive = ::http_should_keep_alive(parser) != 0;
        self.whole = true;
        ::http_parser_pause(parser, 1);
        return goOn;
    }
};

message_parser::message_parser(message_side side, message_limits limits)
    : m_parts(std::make_unique<parts>())
{
    m_parts->side = side;
    m_parts->limits = limits;
    ::http_parser_init(&m_parts->parser, side == message_side::requests ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parts->parser.data = m_parts.get();
}

message_parser::~message_parser() = default;

parse_progress message_parser::take(std::string_view& input)
{
    static const ::http_parser_settings settings = [] {
        ::http_parser_settings made {};
        made.on_message_begin = parts::onBegin;
        made.on_url = parts::onTarget;
        made.on_status = parts::onReason;
        made.on_header_field = parts::onName;
        made.on_header_value = parts::onValue;
        made.on_headers_complete = parts::onHead;
        made.on_body = parts::onBody;
        made.on_message_complete = parts::onWhole;
        return made;
    }();
    if (m_parts->whole)
        return parse_progress::whole;
    const auto taken = ::http_parser_execute(&m_parts->parser, &settings, input.data(), input.size());
    const bool ended = input.empty();
    input.remove_prefix(std::min(taken, input.size()));
    if (m_parts->whole) {
        ::http_parser_pause(&m_parts->parser, 0);
        return parse_progress::whole;
    }
    const auto problem = HTTP_PARSER_ERRNO(&m_parts->parser);
    if (problem == HPE_HEADER_OVERFLOW)
        return parse_progress::head_too_large;
    if (problem != HPE_OK || m_parts->parser.upgrade != 0)
        return m_parts->problem;
    return ended && m_parts->begun ? parse_progress::malformed : parse_progress::more;
}

parse_progress message_parser::finish()
{
    if (!m_parts->begun)
        return parse_progress::more;
    std::string_view nothing;
    return take(nothing);
}

void message_parser::expectNoBody() noexcept
{
    m_parts->noBody = true;
}

bool message_parser::hasBegun() const noexcept
{
    return m_parts->begun;
}

bool message_parser::takeExpectsContinue() noexcept
{
    return !m_parts->whole && std::exchange(m_parts->current.expectsContinue, false);
}

message message_parser::takeMessage()
{
    m_parts->whole = false;
    m_parts->begun = false;
    m_parts->noBody = false;
    return std::move(m_parts->current);
}

void message_parser::setLimits(message_limits limits) noexcept
{
    m_parts->limits = limits;
}

} // namespace acaciaslip::protocol::http
