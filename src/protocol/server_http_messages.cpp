#include "protocol/server_http_messages.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include <fmt/format.h>

namespace acaciaslip::protocol {

namespace {

using coordination::gateway::probe_outcome;
using http::equalsIgnoringCase;
using http::findHeader;

constexpr int statusOk = 200;
constexpr int firstNonSuccessStatus = 300;
constexpr int statusMisdirected = 421;
constexpr int statusUnavailable = 503;
constexpr std::chrono::seconds maxBackOff = std::chrono::hours { 24 }; ///< longest time accepted from any header

std::optional<state::gateway::load_report> parseLoad(const server_http_format& format, const http::message& answer)
{
    const auto load = findHeader(answer, format.names.load);
    return load && format.parseLoad ? format.parseLoad(*load) : std::nullopt;
}

/// Parses a number that is not negative, with an optional fraction and without an exponent.
std::optional<double> parseDecimal(std::string_view text)
{
    double number = 0;
    const auto* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number, std::chars_format::fixed);
    const bool valid = error == std::errc {} && end == last && std::isfinite(number) && number >= 0;
    return valid ? std::optional { number } : std::nullopt;
}

state::gateway::limit_report readLimit(const server_http_format& format, const http::message& answer)
{
    using state::gateway::header_statement;
    using state::gateway::limit_report;
    const auto text = findHeader(answer, format.names.requestLimit);
    if (!text)
        return {};
    const auto perSecond = parseDecimal(*text);
    return perSecond ? limit_report { header_statement::named, *perSecond }
                     : limit_report { header_statement::unreadable, 0 };
}

/// Reads the Retry-After header of a refusal. HTTP also allows a date there, which servers do not send.
state::gateway::back_off_report readBackOff(const http::message& answer)
{
    using state::gateway::header_statement;
    const auto text = findHeader(answer, "Retry-After");
    if (answer.status != statusUnavailable || !text)
        return {};
    const auto seconds = parseDecimal(*text);
    if (!seconds || *seconds > maxBackOff.count())
        return { header_statement::unreadable, {} };
    return { header_statement::named,
        std::chrono::duration_cast<state::duration>(std::chrono::duration<double> { *seconds }) };
}

bool readLeaving(const server_http_format& format, const http::message& answer)
{
    return answer.status != statusMisdirected && findHeader(answer, format.names.leaving) == std::string_view("1");
}

/// Whether a server says that it has not run the request.
bool isRefusal(const server_http_format& format, const http::message& answer)
{
    return findHeader(answer, format.names.notExecuted) || answer.status == statusMisdirected;
}

template <typename Names> bool isListed(const Names& names, std::string_view name)
{
    return std::any_of(
        names.begin(), names.end(), [&](std::string_view listed) { return equalsIgnoringCase(listed, name); });
}

/// Compares header names as servers do that hand them on as environment variables, where "-" and "_" are the same.
bool isSameVariable(std::string_view left, std::string_view right) noexcept
{
    const auto fold = [](char character) {
        if (character == '_')
            return '-';
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [&](char one, char other) { return fold(one) == fold(other); });
}

/// Whether a caller's header must not reach a server: its key, or a team's name that the caller claims.
bool isTeamHeader(const server_http_format& format, std::string_view name) noexcept
{
    return isSameVariable(name, format.names.teamKey) || isSameVariable(name, format.names.teamName);
}

void appendForwarded(std::string& output, const http::message& from, const std::vector<std::string_view>& replaced)
{
    const auto listed = http::listedConnectionHeaders(from);
    for (const auto& header : from.headers) {
        if (!http::isConnectionHeader(header.name) && !isListed(listed, header.name)
            && !isListed(replaced, header.name))
            http::appendHeader(output, header.name, header.value);
    }
}

} // namespace

bool isRequestAnswer(const server_http_format& format, const http::message& answer, std::string_view id)
{
    const auto echoed = findHeader(answer, format.names.requestId);
    return echoed ? *echoed == id : !isRefusal(format, answer);
}

bool isProbeAnswer(const server_http_format& format, const http::message& answer)
{
    return !findHeader(answer, format.names.requestId) && !findHeader(answer, format.names.signature);
}

coordination::gateway::probe_finished readProbeAnswer(
    const server_http_format& format, const http::message& answer, std::string_view server)
{
    coordination::gateway::probe_finished finished;
    const auto id = findHeader(answer, format.names.serverId);
    if (id && *id != server)
        finished.outcome = probe_outcome::other_server;
    else
        finished.outcome = answer.status == statusOk ? probe_outcome::healthy : probe_outcome::unhealthy;
    finished.report = parseLoad(format, answer);
    finished.limit = readLimit(format, answer);
    finished.backOff = readBackOff(answer);
    finished.leaving = readLeaving(format, answer);
    if (const auto cold = findHeader(answer, format.names.coldRemaining))
        finished.coldRemaining = http::parseMilliseconds(*cold).value_or(state::duration::zero());
    return finished;
}

coordination::gateway::attempt_finished readAttemptAnswer(const server_http_format& format, const http::message& answer)
{
    coordination::gateway::attempt_finished finished;
    finished.status = answer.status;
    finished.report = parseLoad(format, answer);
    finished.limit = readLimit(format, answer);
    finished.backOff = readBackOff(answer);
    finished.leaving = readLeaving(format, answer);
    const bool success = answer.status >= statusOk && answer.status < firstNonSuccessStatus;
    const bool isSigned = findHeader(answer, format.names.signature).has_value();
    const bool hasId = findHeader(answer, format.names.requestId).has_value();
    if (hasId && isRefusal(format, answer))
        finished.outcome = state::attempt_outcome::shed;
    else if (!hasId || findHeader(answer, "Content-Encoding")
        || (success && format.requireSignatureOnSuccess && !isSigned))
        finished.outcome = state::attempt_outcome::mismatched;
    else
        finished.outcome = state::attempt_outcome::answered;
    return finished;
}

std::string writeProbeRequest(std::string_view healthPath, std::string_view address)
{
    return fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", healthPath, address);
}

std::optional<std::string> readTeamKey(const server_http_format& format, const http::message& request)
{
    const auto key = findHeader(request, format.names.teamKey);
    if (!key)
        return std::nullopt;
    return http::countHeaders(request, format.names.teamKey) == 1 ? std::string(*key) : std::string {};
}

std::string writeServerRequest(const server_http_format& format, const http::message& request, std::string_view server,
    std::int64_t milliseconds, std::string_view team)
{
    std::string written = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    written.reserve(written.size() + request.body.size() + 512); // NOLINT: space for typical headers
    std::vector<std::string_view> replaced { format.names.timeout, format.names.expectedServer, "Expect" };
    for (const auto& header : request.headers) {
        if (isTeamHeader(format, header.name))
            replaced.emplace_back(header.name);
    }
    appendForwarded(written, request, replaced);
    if (!team.empty())
        http::appendHeader(written, format.names.teamName, team);
    http::appendHeader(written, format.names.timeout, std::to_string(milliseconds));
    http::appendHeader(written, format.names.expectedServer, server);
    if (http::needsContentLength(request))
        http::appendHeader(written, "Content-Length", std::to_string(request.body.size()));
    written.append("\r\n").append(request.body);
    return written;
}

std::string writeCallerAnswer(const http::message& answer, bool isHeadRequest, bool keepAlive)
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    std::string written = fmt::format("HTTP/1.1 {} {}\r\n", answer.status, answer.reason);
    written.reserve(written.size() + answer.body.size() + 512); // NOLINT: space for typical headers
    appendForwarded(written, answer, {});
    const auto declared = findHeader(answer, "Content-Length");
    if (isHeadRequest && declared)
        http::appendHeader(written, "Content-Length", *declared);
    else if (!isHeadRequest && !answer.closeDelimited && answer.status != noContent && answer.status != notModified)
        http::appendHeader(written, "Content-Length", std::to_string(answer.body.size()));
    if (!keepAlive)
        http::appendHeader(written, "Connection", "close");
    written.append("\r\n");
    if (!isHeadRequest)
        written.append(answer.body);
    return written;
}

} // namespace acaciaslip::protocol
