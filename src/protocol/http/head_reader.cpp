#include "protocol/http/head_reader.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace acaciaslip::protocol::http {

namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr int firstStatus = 100;
constexpr int statusSwitchingProtocols = 101;
constexpr int lastStatus = 599;
constexpr int statusOk = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

/// Header fields that determine the body's framing and the connection's persistence.
struct framing_fields {
    std::optional<std::string_view> length;
    std::optional<std::string_view> encoding;
    bool close = false;
    bool keepAlive = false;
    bool expectsContinue = false;
};

bool isValueCharacter(char character) noexcept
{
    const auto code = static_cast<unsigned char>(character);
    return character == '\t' || (code >= ' ' && code != 0x7f);
}

bool isValue(std::string_view text) noexcept
{
    return std::all_of(text.begin(), text.end(), isValueCharacter);
}

bool isTarget(std::string_view text) noexcept
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
        return character > ' ' && character < 0x7f && character != '#';
    });
}

/// Removes the next line from the text; returns std::nullopt when no CRLF is found.
std::optional<std::string_view> takeLine(std::string_view& text) noexcept
{
    const auto end = text.find(lineEnd);
    if (end == std::string_view::npos)
        return std::nullopt;
    const auto line = text.substr(0, end);
    text.remove_prefix(end + lineEnd.size());
    return line;
}

/// Parses all header lines.
/// \return complete, or the error
parse_status readFields(std::string_view text, const message_limits& limits, std::vector<header_field>& fields)
{
    for (;;) {
        const auto line = takeLine(text);
        if (!line)
            return parse_status::malformed;
        if (line->empty())
            return text.empty() ? parse_status::complete : parse_status::malformed;
        const auto field = readFieldLine(*line);
        if (!field)
            return parse_status::malformed;
        if (line->size() > limits.lineBytes || fields.size() >= limits.headers)
            return parse_status::head_too_large;
        fields.push_back({ std::string(field->first), std::string(field->second) });
    }
}

/// Collects the framing fields; returns std::nullopt when they are duplicate, contradictory or not supported.
std::optional<framing_fields> collectFramingFields(const message& head)
{
    framing_fields found;
    if (countHeaders(head, "Content-Length") > 1 || countHeaders(head, "Transfer-Encoding") > 1)
        return std::nullopt;
    found.length = findHeader(head, "Content-Length");
    found.encoding = findHeader(head, "Transfer-Encoding");
    for (const auto& option : listedConnectionHeaders(head)) {
        found.close |= equalsIgnoringCase(option, "close");
        found.keepAlive |= equalsIgnoringCase(option, "keep-alive");
    }
    const auto expect = findHeader(head, "Expect");
    found.expectsContinue = expect && equalsIgnoringCase(*expect, "100-continue");
    if (found.length && found.encoding)
        return std::nullopt;
    if (found.encoding && (!head.isHttp11 || !equalsIgnoringCase(*found.encoding, "chunked")))
        return std::nullopt;
    return found;
}

/// Sets the framing of the body of a message that may have one.
/// \return complete, or the error
parse_status setFraming(message_head& head, const framing_fields& found, const message_limits& limits)
{
    if (found.encoding) {
        head.framing = body_framing::chunked;
    } else if (found.length) {
        const auto length = parseUnsigned(*found.length);
        if (!length)
            return parse_status::malformed;
        if (*length > limits.bodyBytes)
            return parse_status::body_too_large;
        head.bodyLength = *length;
        head.framing = *length > 0 ? body_framing::length : body_framing::none;
    }
    return parse_status::complete;
}

/// Parses the version, "HTTP/1.1" or "HTTP/1.0".
parse_status readVersion(std::string_view text, bool& isHttp11) noexcept
{
    isHttp11 = text == "HTTP/1.1";
    if (isHttp11 || text == "HTTP/1.0")
        return parse_status::complete;
    return text.starts_with("HTTP/") ? parse_status::unknown_version : parse_status::malformed;
}

parse_status readRequestLine(std::string_view line, const message_limits& limits, message& request)
{
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string_view::npos || first == last)
        return parse_status::malformed;
    const auto method = line.substr(0, first);
    const auto target = line.substr(first + 1, last - first - 1);
    if (!isToken(method) || !isTarget(target))
        return parse_status::malformed;
    if (const auto read = readVersion(line.substr(last + 1), request.isHttp11); read != parse_status::complete)
        return read;
    if (line.size() > limits.lineBytes)
        return parse_status::target_too_long;
    request.method = method;
    request.target = target;
    return parse_status::complete;
}

/// Whether a server may answer with this status. No request asks for another protocol.
bool isStatus(int status) noexcept
{
    return status >= firstStatus && status <= lastStatus && status != statusSwitchingProtocols;
}

/// Parses a status line such as "HTTP/1.1 200 OK".
parse_status readStatusLine(std::string_view line, message& answer)
{
    constexpr std::size_t versionSize = 8;
    constexpr std::size_t statusDigits = 3;
    if (readVersion(line.substr(0, versionSize), answer.isHttp11) != parse_status::complete)
        return parse_status::malformed;
    auto rest = line.substr(versionSize);
    if (rest.size() <= statusDigits || rest.front() != ' ')
        return parse_status::malformed;
    rest.remove_prefix(1);
    const auto [end, error] = std::from_chars(rest.data(), rest.data() + statusDigits, answer.status);
    if (error != std::errc {} || end != rest.data() + statusDigits || !isStatus(answer.status))
        return parse_status::malformed;
    rest.remove_prefix(statusDigits);
    if (!rest.empty() && (rest.front() != ' ' || !isValue(rest)))
        return parse_status::malformed;
    answer.reason = rest.empty() ? rest : rest.substr(1);
    return parse_status::complete;
}

} // namespace

std::optional<std::pair<std::string_view, std::string_view>> readFieldLine(std::string_view line) noexcept
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
        return std::nullopt;
    const auto value = trim(line.substr(colon + 1));
    if (!isValue(value))
        return std::nullopt;
    return std::pair { line.substr(0, colon), value };
}

std::variant<message_head, parse_status> readRequestHead(std::string_view text, const message_limits& limits)
{
    message_head head;
    const auto line = takeLine(text);
    if (!line)
        return parse_status::malformed;
    if (const auto read = readRequestLine(*line, limits, head.partialMessage); read != parse_status::complete)
        return read;
    if (const auto read = readFields(text, limits, head.partialMessage.headers); read != parse_status::complete)
        return read;
    const auto found = collectFramingFields(head.partialMessage);
    if (!found)
        return parse_status::malformed;
    head.partialMessage.keepAlive = !found->close && (head.partialMessage.isHttp11 || found->keepAlive);
    head.partialMessage.expectsContinue = found->expectsContinue && head.partialMessage.isHttp11;
    if (const auto read = setFraming(head, *found, limits); read != parse_status::complete)
        return read;
    return head;
}

std::variant<message_head, parse_status> readAnswerHead(
    std::string_view text, bool isHeadRequest, const message_limits& limits)
{
    message_head head;
    auto& answer = head.partialMessage;
    const auto line = takeLine(text);
    if (!line)
        return parse_status::malformed;
    if (const auto read = readStatusLine(*line, answer); read != parse_status::complete)
        return read;
    if (const auto read = readFields(text, limits, answer.headers); read != parse_status::complete)
        return read;
    const auto found = collectFramingFields(answer);
    if (!found || (found->length && !parseUnsigned(*found->length)))
        return parse_status::malformed;
    answer.keepAlive = !found->close && (answer.isHttp11 || found->keepAlive);
    if (isHeadRequest || answer.status < statusOk || answer.status == statusNoContent
        || answer.status == statusNotModified)
        return head;
    if (const auto read = setFraming(head, *found, limits); read != parse_status::complete)
        return read;
    if (!found->length && !found->encoding) {
        head.framing = body_framing::until_close;
        answer.closeDelimited = true;
        answer.keepAlive = false;
    }
    return head;
}

} // namespace acaciaslip::protocol::http
