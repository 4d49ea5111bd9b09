#include "platform/http_format.hpp"

#include <array>
#include <charconv>

namespace acaciaslip::platform {

namespace {

constexpr double normalDurationPercent = 100; ///< fourth field of a load header at normal speed, in percent

/// Parses "running,waiting,slots" with an optional fourth field: processing time in percent of the normal time.
std::optional<state::gateway::load_report> parseLoad(std::string_view text)
{
    constexpr std::size_t requiredFields = 3;
    std::array<double, 4> fields { 0, 0, 0, normalDurationPercent };
    std::size_t count = 0;
    while (!text.empty() && count < fields.size()) {
        const auto comma = std::min(text.find(','), text.size());
        const auto field = text.substr(0, comma);
        const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), fields[count]);
        if (error != std::errc {} || end != field.data() + field.size() || fields[count] < 0)
            return std::nullopt;
        ++count;
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    if (count < requiredFields)
        return std::nullopt;
    state::gateway::load_report report;
    report.inFlight = static_cast<std::uint32_t>(fields[0]);
    report.queued = static_cast<std::uint32_t>(fields[1]);
    report.slots = static_cast<std::uint32_t>(fields[2]);
    report.slowdown = fields[3] > 0 ? fields[3] / normalDurationPercent : 1;
    return report;
}

} // namespace

protocol::server_http_format makeHttpFormat()
{
    protocol::server_http_format format;
    format.names.requestId = "X-Acaciaslip-Request-Id";
    format.names.timeout = "X-Acaciaslip-Deadline-Ms"; // remaining time, not a point in time
    format.names.expectedServer = "X-Acaciaslip-Expect-Instance";
    format.names.notExecuted = "X-Acaciaslip-Not-Executed";
    format.names.load = "X-Acaciaslip-Backend-Load";
    format.names.signature = "X-Acaciaslip-Response-Seal";
    format.names.serverId = "X-Acaciaslip-Instance-Id";
    format.names.leaving = "Server-Leaving";
    format.names.requestLimit = "Server-Limit";
    format.names.coldRemaining = "X-Acaciaslip-Cold-Ms";
    format.names.teamKey = "X-Acaciaslip-Key";
    format.names.teamName = "X-Acaciaslip-Tenant";
    format.requireSignatureOnSuccess = true;
    format.parseLoad = parseLoad;
    return format;
}

} // namespace acaciaslip::platform
