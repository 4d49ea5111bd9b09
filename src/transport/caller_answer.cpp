#include "transport/caller_answer.hpp"

#include <chrono>
#include <iterator>
#include <string>

#include <fmt/format.h>

namespace acaciaslip::transport {

namespace {

constexpr int statusOk = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
constexpr std::chrono::seconds edgeRetryAfter { 1 };

int statusOf(state::refusal_reason reason)
{
    switch (reason) {
    case state::refusal_reason::no_route:
        return statusNotFound;
    case state::refusal_reason::duplicate_key:
        return statusConflict;
    case state::refusal_reason::deadline_exceeded:
        return statusGatewayTimeout;
    case state::refusal_reason::broken_answer:
        return statusBadGateway;
    case state::refusal_reason::no_server:
    case state::refusal_reason::overloaded:
    case state::refusal_reason::leaving:
        return statusUnavailable;
    }
    return statusUnavailable;
}

std::string_view phraseOf(int status)
{
    switch (status) {
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Payload Too Large";
    case 414:
        return "URI Too Long";
    case 417:
        return "Expectation Failed";
    case 431:
        return "Request Header Fields Too Large";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    case 505:
        return "HTTP Version Not Supported";
    default:
        return "Error";
    }
}

void endHead(std::string& head, const caller_wishes& wishes)
{
    head += wishes.keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
}

/// Adds what tells the end of a server's answer.
void appendLength(std::string& head, const server_answer& answer, const caller_wishes& wishes)
{
    const bool hasNoBody = answer.status < statusOk || answer.status == statusNoContent;
    if (hasNoBody)
        return;
    if (!wishes.toHead && answer.status != statusNotModified)
        fmt::format_to(std::back_inserter(head), "Content-Length: {}\r\n", answer.body.size());
    else if (answer.declaredLength)
        fmt::format_to(std::back_inserter(head), "Content-Length: {}\r\n", *answer.declaredLength);
}

caller_answer write(const coordination::answer_caller& answered, const caller_wishes& wishes)
{
    const auto& source = static_cast<const server_answer&>(*answered.answer);
    caller_answer made;
    made.keepAlive = wishes.keepAlive;
    auto& head = made.head;
    fmt::format_to(std::back_inserter(head), "HTTP/1.1 {} {}\r\n", source.status, source.reason);
    for (const auto& [name, value] : source.headers)
        head.append(name).append(": ").append(value).append("\r\n");
    fmt::format_to(std::back_inserter(head),
        "Acaciaslip-Verdict: ran\r\nAcaciaslip-Server: {}\r\nAcaciaslip-Attempts: {}\r\n", answered.server,
        answered.attempts);
    appendLength(head, source, wishes);
    endHead(head, wishes);
    made.kept = answered.answer;
    if (!wishes.toHead)
        made.serverBody = source.body;
    return made;
}

caller_answer makeRefusal(
    int status, std::string_view verdict, std::string_view reason, std::string_view more, const caller_wishes& wishes)
{
    caller_answer made;
    made.keepAlive = wishes.keepAlive;
    fmt::format_to(std::back_inserter(made.head),
        "HTTP/1.1 {} {}\r\nAcaciaslip-Verdict: {}\r\n{}Content-Type: text/plain\r\nContent-Length: {}\r\n", status,
        phraseOf(status), verdict, more, reason.size() + 1);
    endHead(made.head, wishes);
    if (!wishes.toHead)
        made.ownBody = fmt::format("{}\n", reason);
    return made;
}

std::string retryAfterHeader(state::duration retryAfter)
{
    return fmt::format("Retry-After: {}\r\n", std::chrono::ceil<std::chrono::seconds>(retryAfter).count());
}

caller_answer write(const coordination::refuse_caller& refused, const caller_wishes& wishes)
{
    const auto status = statusOf(refused.reason);
    auto more = fmt::format("Acaciaslip-Attempts: {}\r\n", refused.attempts);
    if (refused.outcome == state::verdict::not_run && status == statusUnavailable)
        more += retryAfterHeader(refused.retryAfter);
    return makeRefusal(status, state::findName(state::verdictNames, refused.outcome),
        state::findName(state::refusalReasonNames, refused.reason), more, wishes);
}

} // namespace

caller_answer makeAnswer(const caller_result& result, const caller_wishes& wishes)
{
    return std::visit(
        [&](const auto& known) {
            auto granted = wishes;
            granted.keepAlive &= !known.closeConnection;
            return write(known, granted);
        },
        result);
}

caller_answer makeEdgeRefusal(int status, std::string_view reason, const caller_wishes& wishes)
{
    std::string more = "Acaciaslip-Attempts: 0\r\n";
    if (status == statusUnavailable)
        more += retryAfterHeader(edgeRetryAfter);
    return makeRefusal(status, state::findName(state::verdictNames, state::verdict::not_run), reason, more, wishes);
}

} // namespace acaciaslip::transport
