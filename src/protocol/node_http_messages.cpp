#include "protocol/node_http_messages.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>

#include <absl/algorithm/container.h>
#include <fmt/format.h>

namespace acaciaslip::protocol {

namespace {

using http::equalsIgnoringCase;
using http::findHeader;

constexpr std::string_view attemptHeader = "Acaciaslip-Request";
constexpr std::string_view notRunHeader = "Acaciaslip-Not-Run";
constexpr std::string_view verdictHeader = "Acaciaslip-Verdict";
constexpr std::string_view attemptsHeader = "Acaciaslip-Attempts";
constexpr std::string_view timeoutHeader = "Request-Timeout-Ms";
constexpr std::string_view productPrefix = "Acaciaslip-";
constexpr std::array<std::string_view, 7> knownMethods { "GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH" };
constexpr std::array<std::string_view, 5> idempotentMethods { "GET", "HEAD", "PUT", "DELETE", "OPTIONS" };
constexpr std::uint64_t maxTimeoutMs = 86'400'000; ///< one day; a longer timeout means no limit in practice
constexpr std::chrono::seconds earlyRefusalRetryAfter { 1 };
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusTooManyRequests = 429;
constexpr int statusExpectationFailed = 417;
constexpr int statusNotImplemented = 501;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
constexpr int statusOk = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

bool isHostCharacter(char character) noexcept
{
    return character > ' ' && character < 0x7f
        && std::string_view("\"(),/;<=>?@\\{}").find(character) == std::string_view::npos;
}

std::string_view removePort(std::string_view host) noexcept
{
    const auto colon = host.rfind(':');
    const auto bracket = host.find(']');
    const bool isIpv6 = bracket != std::string_view::npos && colon < bracket;
    return colon != std::string_view::npos && !isIpv6 ? host.substr(0, colon) : host;
}

bool isProductHeader(std::string_view name)
{
    return equalsIgnoringCase(name.substr(0, productPrefix.size()), productPrefix)
        || equalsIgnoringCase(name, "Expect");
}

/// Removes connection-specific headers, those listed in the Connection header, and the product's own.
void removeUnforwardedHeaders(http::message& message)
{
    const auto listed = http::listedConnectionHeaders(message);
    std::erase_if(message.headers, [&](const http::header_field& header) {
        const bool isListed = !equalsIgnoringCase(header.name, "Host")
            && absl::c_any_of(listed, [&](const std::string& name) { return equalsIgnoringCase(name, header.name); });
        return isListed || isProductHeader(header.name) || http::isConnectionHeader(header.name);
    });
}

int statusOf(state::refusal_reason reason) noexcept
{
    switch (reason) {
    case state::refusal_reason::no_route:
        return statusNotFound;
    case state::refusal_reason::unknown_key:
        return statusUnauthorized;
    case state::refusal_reason::over_allowance:
        return statusTooManyRequests;
    case state::refusal_reason::duplicate_key:
        return statusConflict;
    case state::refusal_reason::deadline_exceeded:
        return statusGatewayTimeout;
    case state::refusal_reason::broken_answer:
    case state::refusal_reason::unproven_refusal:
        return statusBadGateway;
    case state::refusal_reason::no_server:
    case state::refusal_reason::keys_outdated:
    case state::refusal_reason::overloaded:
    case state::refusal_reason::back_off:
    case state::refusal_reason::ends_servers:
    case state::refusal_reason::leaving:
        return statusUnavailable;
    }
    return statusUnavailable;
}

void finishHead(std::string& written, bool keepAlive)
{
    written += keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
}

/// Appends the Content-Length of a response; where no body follows, the one that the server declared.
void appendLength(std::string& written, const http::message& answer, bool isHeadRequest)
{
    constexpr std::string_view name = "Content-Length";
    if (answer.status < statusOk || answer.status == statusNoContent)
        return;
    if (!isHeadRequest && answer.status != statusNotModified)
        http::appendHeader(written, name, std::to_string(answer.body.size()));
    else if (const auto declared = findHeader(answer, name))
        http::appendHeader(written, name, *declared);
}

void appendRetryAfter(std::string& written, state::duration wait)
{
    http::appendHeader(written, "Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count()));
}

std::string writeRefusalStart(int status, state::verdict outcome, std::uint32_t attempts)
{
    auto written = fmt::format("HTTP/1.1 {} {}\r\n", status, http::reasonPhrase(status));
    http::appendHeader(written, verdictHeader, state::findName(state::verdictNames, outcome));
    http::appendHeader(written, attemptsHeader, std::to_string(attempts));
    return written;
}

std::string finishRefusal(std::string written, std::string_view reason, const answer_options& form)
{
    http::appendHeader(written, "Content-Type", "text/plain");
    http::appendHeader(written, "Content-Length", std::to_string(reason.size() + 1));
    finishHead(written, form.keepAlive);
    if (!form.isHeadRequest)
        written.append(reason).append("\n");
    return written;
}

} // namespace

std::optional<request_error> validateRequest(const http::message& request)
{
    if (absl::c_find(knownMethods, request.method) == knownMethods.end())
        return request_error { statusNotImplemented, "unknown method" };
    if (!request.target.starts_with('/'))
        return request_error { statusBadRequest, "the target is not a path" };
    const auto host = findHeader(request, "Host");
    if (request.isHttp11 && !host)
        return request_error { statusBadRequest, "no Host" };
    if (http::countHeaders(request, "Host") > 1 || (host && !absl::c_all_of(*host, isHostCharacter)))
        return request_error { statusBadRequest, "malformed Host" };
    const auto expect = findHeader(request, "Expect");
    if (expect && !equalsIgnoringCase(*expect, "100-continue"))
        return request_error { statusExpectationFailed, "unknown Expect" };
    return std::nullopt;
}

coordination::request_arrived makeRequestArrived(state::request_id id, http::message request)
{
    coordination::request_arrived arrived;
    arrived.id = id;
    arrived.host = removePort(findHeader(request, "Host").value_or(""));
    arrived.path = http::decodePercent(http::extractPath(request.target));
    arrived.idempotentMethod = absl::c_find(idempotentMethods, request.method) != idempotentMethods.end();
    arrived.idempotencyKey = findHeader(request, "Idempotency-Key").value_or("");
    const auto timeout = http::parseUnsigned(findHeader(request, timeoutHeader).value_or("")).value_or(0);
    if (timeout > 0)
        arrived.timeout = std::chrono::milliseconds { std::min(timeout, maxTimeoutMs) };
    removeUnforwardedHeaders(request);
    arrived.body = std::make_shared<http_payload>(std::move(request));
    return arrived;
}

std::string writeAttempt(const http::message& request, std::string_view attemptId, state::duration timeRemaining)
{
    auto written = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (const auto& header : request.headers) {
        if (!equalsIgnoringCase(header.name, timeoutHeader))
            http::appendHeader(written, header.name, header.value);
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(timeRemaining).count();
    http::appendHeader(written, attemptHeader, attemptId);
    http::appendHeader(written, timeoutHeader, std::to_string(std::max<std::int64_t>(left, 1)));
    if (http::needsContentLength(request))
        http::appendHeader(written, "Content-Length", std::to_string(request.body.size()));
    written.append("\r\n").append(request.body);
    return written;
}

coordination::attempt_finished readAttempt(http::message answer, std::string_view attemptId)
{
    coordination::attempt_finished finished;
    finished.status = answer.status;
    // A response delimited only by the end of the connection may have been truncated.
    if (http::countHeaders(answer, attemptHeader) != 1 || findHeader(answer, attemptHeader) != attemptId
        || answer.closeDelimited) {
        finished.outcome = state::attempt_outcome::mismatched;
    } else if (answer.status == statusUnavailable && findHeader(answer, notRunHeader) == "1") {
        finished.outcome = state::attempt_outcome::shed;
    } else {
        finished.outcome = state::attempt_outcome::answered;
        const auto declared = findHeader(answer, "Content-Length");
        const auto length = declared ? std::optional<std::string>(*declared) : std::nullopt;
        removeUnforwardedHeaders(answer);
        if (length) // forwarded in responses to HEAD requests and with status 304
            answer.headers.push_back({ "Content-Length", *length });
        finished.answer = std::make_shared<http_payload>(std::move(answer));
    }
    return finished;
}

std::string writeCancel(std::string_view address, std::string_view attemptId)
{
    return fmt::format("POST /acaciaslip/cancel HTTP/1.1\r\nHost: {}\r\n{}: {}\r\nContent-Length: 0\r\n"
                       "Connection: close\r\n\r\n",
        address, attemptHeader, attemptId);
}

std::string writeCallerAnswer(const coordination::answer_caller& answered, const answer_options& form)
{
    const auto& answer = static_cast<const http_payload&>(*answered.answer).httpMessage;
    auto written = fmt::format("HTTP/1.1 {} {}\r\n", answer.status, answer.reason);
    for (const auto& header : answer.headers) {
        if (!http::isConnectionHeader(header.name))
            http::appendHeader(written, header.name, header.value);
    }
    http::appendHeader(written, verdictHeader, state::findName(state::verdictNames, state::verdict::ran));
    http::appendHeader(written, "Acaciaslip-Server", answered.server);
    http::appendHeader(written, attemptsHeader, std::to_string(answered.attempts));
    appendLength(written, answer, form.isHeadRequest);
    finishHead(written, form.keepAlive);
    if (!form.isHeadRequest)
        written.append(answer.body);
    return written;
}

std::string writeRefusal(const coordination::refuse_caller& refused, const answer_options& form)
{
    const auto status = statusOf(refused.reason);
    auto written = writeRefusalStart(status, refused.outcome, refused.attempts);
    if (refused.outcome == state::verdict::not_run && status == statusUnavailable)
        appendRetryAfter(written, refused.retryAfter);
    return finishRefusal(std::move(written), state::findName(state::refusalReasonNames, refused.reason), form);
}

std::string writeEarlyRefusal(int status, std::string_view reason, bool isHeadRequest)
{
    auto written = writeRefusalStart(status, state::verdict::not_run, 0);
    if (status == statusUnavailable)
        appendRetryAfter(written, earlyRefusalRetryAfter);
    return finishRefusal(std::move(written), reason, { isHeadRequest, false });
}

} // namespace acaciaslip::protocol
