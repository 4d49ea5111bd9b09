#include "transport/frame.hpp"

#include "transport/clock.hpp"

#include <algorithm>
#include <array>
#include <cstdint>

#include <fmt/format.h>

namespace acaciaslip::transport {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t chunkBytes = 64ULL * 1024; ///< read at a time, so that memory grows only with what has come
constexpr unsigned byteBits = 8;

absl::StatusOr<std::string> readBytes(
    apache::thrift::transport::TTransport& connection, std::size_t size, state::time_point deadline)
{
    std::string bytes;
    while (bytes.size() < size) {
        if (monotonicNow() >= deadline)
            return absl::DeadlineExceededError("the other side is too slow");
        const auto taken = bytes.size();
        const auto wanted = std::min(size - taken, chunkBytes);
        bytes.resize(taken + wanted);
        const auto got = connection.read(
            reinterpret_cast<std::uint8_t*>(bytes.data() + taken), static_cast<std::uint32_t>(wanted));
        if (got == 0)
            return absl::UnavailableError("the other side closed the connection");
        bytes.resize(taken + got);
    }
    return bytes;
}

} // namespace

absl::StatusOr<std::string> readFrame(
    apache::thrift::transport::TTransport& connection, std::size_t limit, state::time_point deadline)
{
    try {
        const auto length = readBytes(connection, lengthBytes, deadline);
        if (!length.ok())
            return length.status();
        std::size_t size = 0;
        for (const char letter : *length)
            size = (size << byteBits) | static_cast<unsigned char>(letter);
        if (size > limit)
            return absl::ResourceExhaustedError(
                fmt::format("a frame of {} bytes; at most {} are allowed", size, limit));
        return readBytes(connection, size, deadline);
    } catch (const std::exception& error) {
        return absl::UnavailableError(error.what());
    }
}

absl::Status writeFrame(apache::thrift::transport::TTransport& connection, std::string_view payload)
{
    std::string frame;
    for (auto shift = lengthBytes; shift > 0; --shift)
        frame += static_cast<char>(payload.size() >> (byteBits * (shift - 1)));
    frame += payload;
    try {
        connection.write(reinterpret_cast<const std::uint8_t*>(frame.data()), static_cast<std::uint32_t>(frame.size()));
        connection.flush();
        return absl::OkStatus();
    } catch (const std::exception& error) {
        return absl::UnavailableError(error.what());
    }
}

} // namespace acaciaslip::transport
