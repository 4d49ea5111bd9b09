#include "platform/duration_parser.hpp"

#include <charconv>
#include <cmath>

namespace acaciaslip::platform {

std::optional<state::duration> parseDuration(std::string_view text) noexcept
{
    constexpr double maxSeconds = 1e6; // keeps sums of durations within the clock's range
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc {} || !std::isfinite(number) || number < 0)
        return std::nullopt;
    const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    double seconds = number;
    if (unit == "ms")
        seconds = number / 1000; // NOLINT: milliseconds per second
    else if (unit != "s")
        return std::nullopt;
    if (seconds > maxSeconds)
        return std::nullopt;
    return std::chrono::duration_cast<state::duration>(std::chrono::duration<double> { seconds });
}

} // namespace acaciaslip::platform
