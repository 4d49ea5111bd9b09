#include "platform/server_headers.hpp"

#include <array>
#include <charconv>

namespace acaciaslip::platform {

namespace {

constexpr double usualPace = 100; ///< the fourth figure of a load header when the machine is undisturbed

/// Reads "running,waiting,slots" with an optional fourth figure: how long work takes, in hundredths of the usual time.
std::optional<state::gateway::load_report> readLoad(std::string_view text)
{
    constexpr std::size_t leastFigures = 3;
    std::array<double, 4> figures { 0, 0, 0, usualPace };
    std::size_t count = 0;
    while (!text.empty() && count < figures.size()) {
        const auto comma = std::min(text.find(','), text.size());
        const auto figure = text.substr(0, comma);
        const auto [end, problem] = std::from_chars(figure.data(), figure.data() + figure.size(), figures[count]);
        if (problem != std::errc {} || end != figure.data() + figure.size() || figures[count] < 0)
            return std::nullopt;
        ++count;
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    if (count < leastFigures)
        return std::nullopt;
    state::gateway::load_report report;
    report.running = static_cast<std::uint32_t>(figures[0]);
    report.waiting = static_cast<std::uint32_t>(figures[1]);
    report.slots = static_cast<std::uint32_t>(figures[2]);
    report.slowdown = figures[3] > 0 ? figures[3] / usualPace : 1;
    return report;
}

} // namespace

protocol::server_dialect makeDialect()
{
    protocol::server_dialect dialect;
    dialect.names.requestId = "X-Acaciaslip-Request-Id";
    dialect.names.timeout = "X-Acaciaslip-Deadline-Ms"; // a span, not an instant
    dialect.names.expectedServer = "X-Acaciaslip-Expect-Instance";
    dialect.names.notRun = "X-Acaciaslip-Not-Executed";
    dialect.names.load = "X-Acaciaslip-Backend-Load";
    dialect.names.signature = "X-Acaciaslip-Response-Seal";
    dialect.names.serverId = "X-Acaciaslip-Instance-Id";
    dialect.names.coldFor = "X-Acaciaslip-Cold-Ms";
    dialect.successNeedsSignature = true;
    dialect.readLoad = readLoad;
    return dialect;
}

} // namespace acaciaslip::platform
