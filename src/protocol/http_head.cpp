#include "protocol/http_head.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include <strings.h>

namespace acaciaslip::protocol {

namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view ownPrefix = "Acaciaslip-";
constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;
constexpr int statusTargetTooLong = 414;
constexpr int statusExpectationFailed = 417;
constexpr int statusHeadersTooLarge = 431;
constexpr int statusNotImplemented = 501;
constexpr int statusVersion = 505;
constexpr int statusContinue = 100;
constexpr int statusOk = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;
constexpr std::array<std::string_view, 7> methods { "GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH" };

struct header_field {
    std::string_view name;
    std::string_view value;
};

struct framing_fields {
    std::optional<std::string_view> length;
    std::optional<std::string_view> encoding;
    std::optional<std::string_view> host;
    std::optional<std::string_view> expect;
    bool close = false;
};

bool isTokenCharacter(char letter) noexcept
{
    if ((letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z'))
        return true;
    return letter != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(letter) != std::string_view::npos;
}

bool isToken(std::string_view text) noexcept
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isValueCharacter(char letter) noexcept
{
    const auto code = static_cast<unsigned char>(letter);
    return letter == '\t' || (code >= ' ' && code != 0x7f);
}

bool isTargetCharacter(char letter) noexcept
{
    return letter > ' ' && letter < 0x7f && letter != '#';
}

bool isHostCharacter(char letter) noexcept
{
    return isTokenCharacter(letter) || letter == ':' || letter == '[' || letter == ']';
}

std::string_view trim(std::string_view text) noexcept
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Takes the next line off the text; nothing when no CRLF ends it.
std::optional<std::string_view> takeLine(std::string_view& text) noexcept
{
    const auto end = text.find(lineEnd);
    if (end == std::string_view::npos)
        return std::nullopt;
    const auto line = text.substr(0, end);
    text.remove_prefix(end + lineEnd.size());
    return line;
}

head_refusal refuse(std::string_view reason, int status = statusBadRequest) noexcept
{
    return { status, reason };
}

/// Adds a value so that the HTTP library, which decodes percent signs, reads back what was sent.
void appendEscaped(std::string& to, std::string_view value)
{
    for (const char letter : value) {
        if (letter == '%')
            to += "%25";
        else
            to += letter;
    }
}

/// Splits every header line; a line that is malformed or folded is refused.
std::optional<head_refusal> readFields(
    std::string_view text, const message_limits& limits, std::vector<header_field>& fields)
{
    for (;;) {
        const auto line = takeLine(text);
        if (!line)
            return refuse("the head has no end");
        if (line->empty())
            return text.empty() ? std::nullopt : std::optional(refuse("bytes after the head"));
        const auto colon = line->find(':');
        if (colon == std::string_view::npos || !isToken(line->substr(0, colon)))
            return refuse("malformed header name");
        const auto value = trim(line->substr(colon + 1));
        if (!std::all_of(value.begin(), value.end(), isValueCharacter))
            return refuse("control character in a header");
        const auto escapes = static_cast<std::size_t>(std::count(value.begin(), value.end(), '%')) * 2;
        if (line->size() + escapes > limits.lineBytes || fields.size() >= limits.headers)
            return refuse("headers too large", statusHeadersTooLarge);
        fields.push_back({ line->substr(0, colon), value });
    }
}

/// Keeps a field that may stand once only.
bool keepOnce(std::optional<std::string_view>& kept, std::string_view value) noexcept
{
    if (kept)
        return false;
    kept = value;
    return true;
}

/// Picks out what tells the framing. \return whether none of it stands twice
bool pickFraming(const std::vector<header_field>& fields, framing_fields& found)
{
    bool unique = true;
    for (const auto& [name, value] : fields) {
        if (equalsIgnoringCase(name, "Content-Length"))
            unique &= keepOnce(found.length, value);
        else if (equalsIgnoringCase(name, "Transfer-Encoding"))
            unique &= keepOnce(found.encoding, value);
        else if (equalsIgnoringCase(name, "Host"))
            unique &= keepOnce(found.host, value);
        else if (equalsIgnoringCase(name, "Expect"))
            unique &= keepOnce(found.expect, value);
        else if (equalsIgnoringCase(name, "Connection"))
            for (const auto& option : splitList(value))
                found.close |= equalsIgnoringCase(option, "close");
    }
    return unique;
}

std::optional<std::uint64_t> readLength(std::string_view text) noexcept
{
    constexpr std::size_t mostDigits = 18;
    if (text.empty() || text.size() > mostDigits)
        return std::nullopt;
    std::uint64_t length = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (problem != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return length;
}

bool tellsLength(std::string_view name) noexcept
{
    return equalsIgnoringCase(name, "Content-Length") || equalsIgnoringCase(name, "Transfer-Encoding");
}

void appendField(std::string& to, std::string_view name, std::string_view value)
{
    to.append(name).append(": ");
    appendEscaped(to, value);
    to += lineEnd;
}

/// Writes a target whose second question mark the HTTP library would refuse.
std::string escapeTarget(std::string_view target)
{
    std::string escaped;
    bool inQuery = false;
    for (const char letter : target) {
        if (letter == '?' && inQuery)
            escaped += "%3F";
        else
            escaped += letter;
        inQuery |= letter == '?';
    }
    return escaped;
}

std::optional<head_refusal> readRequestLine(std::string_view line, const message_limits& limits, request_head& head)
{
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string_view::npos || first == last)
        return refuse("malformed request line");
    const auto method = line.substr(0, first);
    const auto target = line.substr(first + 1, last - first - 1);
    const auto version = line.substr(last + 1);
    if (!isToken(method) || target.empty() || !std::all_of(target.begin(), target.end(), isTargetCharacter))
        return refuse("malformed request line");
    if (version != "HTTP/1.1" && version != "HTTP/1.0")
        return version.substr(0, 5) == "HTTP/" ? refuse("unknown HTTP version", statusVersion)
                                               : refuse("malformed request line");
    if (std::find(methods.begin(), methods.end(), method) == methods.end())
        return refuse("unknown method", statusNotImplemented);
    if (target.front() != '/')
        return refuse("the target is not a path");
    const auto escapes = static_cast<std::size_t>(std::count(target.begin(), target.end(), '?')) * 2;
    if (line.size() + escapes > limits.lineBytes)
        return refuse("target too long", statusTargetTooLong);
    head.method = method;
    head.target = target;
    head.isHttp11 = version == "HTTP/1.1";
    return std::nullopt;
}

std::optional<head_refusal> readRequestFraming(
    const framing_fields& found, const message_limits& limits, request_head& head)
{
    if (head.isHttp11 && !found.host)
        return refuse("no Host");
    if (found.host && !std::all_of(found.host->begin(), found.host->end(), isHostCharacter))
        return refuse("malformed Host");
    if (found.length && found.encoding)
        return refuse("Content-Length with Transfer-Encoding");
    if (found.encoding) {
        if (!head.isHttp11 || !equalsIgnoringCase(*found.encoding, "chunked"))
            return refuse("unknown Transfer-Encoding");
        head.framing = body_framing::chunked;
    }
    if (found.length) {
        const auto length = readLength(*found.length);
        if (!length)
            return refuse("Content-Length is no number");
        if (*length > limits.bodyBytes)
            return refuse("body too large", statusTooLarge);
        head.bodyLength = *length;
        head.framing = *length > 0 ? body_framing::length : body_framing::none;
    }
    if (found.expect) {
        if (!equalsIgnoringCase(*found.expect, "100-continue"))
            return refuse("unknown Expect", statusExpectationFailed);
        head.expectsContinue = head.isHttp11;
    }
    head.keepAlive = head.isHttp11 && !found.close;
    return std::nullopt;
}

/// Reads "HTTP/1.1 200 OK". \return the status, or nothing
std::optional<int> readStatusLine(std::string_view line, bool& isHttp11)
{
    constexpr std::string_view prefix = "HTTP/1.";
    constexpr std::size_t statusAt = 9;
    constexpr std::size_t statusDigits = 3;
    if (line.size() < statusAt + statusDigits || line.substr(0, prefix.size()) != prefix || line[statusAt - 1] != ' ')
        return std::nullopt;
    const char minor = line[prefix.size()];
    const auto digits = line.substr(statusAt, statusDigits);
    const auto rest = line.substr(statusAt + statusDigits);
    const bool isNumber = std::all_of(digits.begin(), digits.end(), [](char d) { return d >= '0' && d <= '9'; });
    if ((minor != '0' && minor != '1') || !isNumber || (!rest.empty() && rest.front() != ' ')
        || !std::all_of(rest.begin(), rest.end(), isValueCharacter))
        return std::nullopt;
    isHttp11 = minor == '1';
    int status = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), status);
    return status >= statusContinue ? std::optional(status) : std::nullopt;
}

bool readAnswerFraming(const framing_fields& found, bool toHead, const message_limits& limits, answer_head& head)
{
    if (found.length && found.encoding)
        return false;
    if (found.length && !(head.declaredLength = readLength(*found.length)))
        return false;
    if (found.encoding && !equalsIgnoringCase(*found.encoding, "chunked"))
        return false;
    if (toHead || head.status < statusOk || head.status == statusNoContent || head.status == statusNotModified)
        return true;
    if (found.encoding) {
        head.framing = body_framing::chunked;
        return true;
    }
    if (!head.declaredLength || *head.declaredLength > limits.bodyBytes)
        return false;
    head.bodyLength = *head.declaredLength;
    head.framing = head.bodyLength > 0 ? body_framing::length : body_framing::none;
    return true;
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::vector<std::string> splitList(std::string_view value)
{
    std::vector<std::string> names;
    while (!value.empty()) {
        const auto comma = std::min(value.find(','), value.size());
        if (const auto name = trim(value.substr(0, comma)); !name.empty())
            names.emplace_back(name);
        value.remove_prefix(std::min(comma + 1, value.size()));
    }
    return names;
}

std::variant<request_head, head_refusal> readRequestHead(std::string_view text, const message_limits& limits)
{
    request_head head;
    const auto line = takeLine(text);
    if (!line)
        return refuse("malformed request line");
    if (const auto refusal = readRequestLine(*line, limits, head))
        return *refusal;
    std::vector<header_field> fields;
    if (const auto refusal = readFields(text, limits, fields))
        return *refusal;
    framing_fields found;
    if (!pickFraming(fields, found))
        return refuse("a header that may stand once stands twice");
    if (const auto refusal = readRequestFraming(found, limits, head))
        return *refusal;
    head.checked.append(head.method).append(" ").append(escapeTarget(head.target));
    head.checked.append(head.isHttp11 ? " HTTP/1.1\r\n" : " HTTP/1.0\r\n");
    for (const auto& [name, value] : fields) {
        if (!tellsLength(name) && !equalsIgnoringCase(name.substr(0, ownPrefix.size()), ownPrefix))
            appendField(head.checked, equalsIgnoringCase(name, "Range") ? rangeAlias : name, value);
    }
    head.checked += lineEnd;
    return head;
}

std::optional<answer_head> readAnswerHead(std::string_view text, bool toHead, const message_limits& limits)
{
    answer_head head;
    const auto line = takeLine(text);
    bool isHttp11 = true;
    const auto status = line ? readStatusLine(*line, isHttp11) : std::nullopt;
    std::vector<header_field> fields;
    framing_fields found;
    if (!status || readFields(text, limits, fields) || !pickFraming(fields, found))
        return std::nullopt;
    head.status = *status;
    head.keepAlive = isHttp11 && !found.close;
    if (!readAnswerFraming(found, toHead, limits, head))
        return std::nullopt;
    head.checked.append("HTTP/1.1").append(line->substr(std::string_view("HTTP/1.1").size())).append(lineEnd);
    for (const auto& [name, value] : fields) {
        if (!tellsLength(name))
            appendField(head.checked, name, value);
    }
    head.checked.append("Content-Length: 0\r\n\r\n");
    return head;
}

} // namespace acaciaslip::protocol
