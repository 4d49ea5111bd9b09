#pragma once

#include "state/time.hpp"

#include <bit>
#include <chrono>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>

/// Conversion of integers, durations and times to and from their encoding in peer messages.
namespace acaciaslip::protocol::gateway_codec {

[[nodiscard]] inline std::int64_t toMicroseconds(state::duration span)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

/// Thrown for a number outside the range of its field; the whole message is then rejected.
struct range_error : std::out_of_range {
    using std::out_of_range::out_of_range;
};

/// \return the number in its type
/// \throws range_error if the type cannot hold it
template <typename Number> [[nodiscard]] Number checked(std::int64_t number)
{
    if (number < 0 || static_cast<std::uint64_t>(number) > std::numeric_limits<Number>::max())
        throw range_error("number out of range");
    return static_cast<Number>(number);
}

/// Reinterprets the bits of an unsigned number, since Thrift has only signed integers. Every value survives the round
/// trip.
[[nodiscard]] inline std::int32_t toSigned(std::uint32_t number) noexcept
{
    return std::bit_cast<std::int32_t>(number);
}

[[nodiscard]] inline std::uint32_t toUnsigned(std::int32_t number) noexcept
{
    return std::bit_cast<std::uint32_t>(number);
}

[[nodiscard]] inline state::duration toDuration(std::int64_t microseconds)
{
    constexpr std::int64_t maxMicroseconds = 1'000'000'000'000; // keeps sums of durations within the range of the clock
    if (microseconds < 0 || microseconds > maxMicroseconds)
        throw range_error("duration out of range");
    return std::chrono::microseconds { microseconds };
}

/// Converts the age of a process or of a fleet, which is longer than any configured duration.
[[nodiscard]] inline state::duration toAge(std::int64_t microseconds)
{
    constexpr std::int64_t maxMicroseconds = 1'000'000'000'000'000; // 30 years without a stop
    if (microseconds < 0 || microseconds > maxMicroseconds)
        throw range_error("age out of range");
    return std::chrono::microseconds { microseconds };
}

[[nodiscard]] inline state::time_point toFleetTime(std::int64_t microseconds)
{
    return state::time_point { toAge(microseconds) };
}

/// Appends a number in network byte order.
template <typename Number> void append(std::string& to, Number number)
{
    for (std::size_t byte = sizeof number; byte-- > 0;)
        to += static_cast<char>(number >> (8 * byte)); // NOLINT(readability-magic-numbers): bits in a byte
}

/// Reads a number in network byte order.
template <typename Number> [[nodiscard]] Number readNumber(std::string_view bytes, std::size_t at)
{
    Number number = 0;
    for (const char byte : bytes.substr(at, sizeof number))
        number
            = static_cast<Number>(number << 8 | static_cast<unsigned char>(byte)); // NOLINT(readability-magic-numbers)
    return number;
}

} // namespace acaciaslip::protocol::gateway_codec
