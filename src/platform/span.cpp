#include "platform/span.hpp"

#include <charconv>
#include <cmath>

namespace acaciaslip::platform {

std::optional<state::duration> readSpan(std::string_view text) noexcept
{
    constexpr double mostSeconds = 1e6; // keeps every sum of spans within the clock's range
    double number = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (problem != std::errc {} || !std::isfinite(number) || number < 0)
        return std::nullopt;
    const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    double seconds = number;
    if (unit == "ms")
        seconds = number / 1000; // NOLINT: milliseconds in a second
    else if (unit != "s")
        return std::nullopt;
    if (seconds > mostSeconds)
        return std::nullopt;
    return std::chrono::duration_cast<state::duration>(std::chrono::duration<double> { seconds });
}

} // namespace acaciaslip::platform
