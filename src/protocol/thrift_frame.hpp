#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <fmt/format.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace acaciaslip::protocol {

/// Deeper than any struct of ours, even one with fields that this build does not know.
inline constexpr int maxThriftDepth = 8;

/// Writes a version byte and a Thrift struct in compact encoding.
/// \param limit the most bytes that the result may have
template <typename Struct>
[[nodiscard]] absl::StatusOr<std::string> encodeThrift(const Struct& wired, char version, std::size_t limit)
{
    using apache::thrift::transport::TMemoryBuffer;
    try {
        const auto buffer = std::make_shared<TMemoryBuffer>();
        apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
        wired.write(&protocol);
        std::string bytes(1, version);
        bytes += buffer->getBufferAsString();
        if (bytes.size() > limit)
            return absl::ResourceExhaustedError(
                fmt::format("encoded message is {} long; at most {} is allowed", bytes.size(), limit));
        return bytes;
    } catch (const std::exception& error) {
        return absl::InternalError(fmt::format("cannot encode: {}", error.what()));
    }
}

/// Reads what `encodeThrift` writes; whatever else is there is refused.
/// \param maxEntries the most entries of a list
template <typename Struct>
[[nodiscard]] absl::StatusOr<Struct> decodeThrift(
    std::string_view bytes, char version, std::size_t limit, int maxEntries)
{
    using apache::thrift::transport::TMemoryBuffer;
    if (bytes.empty() || bytes.size() > limit)
        return absl::InvalidArgumentError(
            fmt::format("a message of {} bytes; 1 to {} are allowed", bytes.size(), limit));
    if (bytes.front() != version)
        return absl::UnimplementedError(fmt::format("unknown version {}", static_cast<int>(bytes.front())));
    bytes.remove_prefix(1);
    const auto size = static_cast<int>(bytes.size());
    try {
        // The buffer only observes the bytes: it is never written through.
        auto* const data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
        const auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()),
            TMemoryBuffer::OBSERVE, std::make_shared<apache::thrift::TConfiguration>(size, size, maxThriftDepth));
        apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer, size, maxEntries);
        Struct wired;
        wired.read(&protocol);
        if (buffer->available_read() != 0)
            return absl::InvalidArgumentError(fmt::format("{} bytes left over", buffer->available_read()));
        return wired;
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(fmt::format("cannot decode: {}", error.what()));
    }
}

} // namespace acaciaslip::protocol
