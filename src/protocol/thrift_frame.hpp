#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <fmt/format.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace acaciaslip::protocol {

/// Maximum nesting depth. It exceeds that of every struct in use, including structs with fields that this build does
/// not know.
inline constexpr int maxThriftDepth = 8;

/// Encodes a version byte followed by a Thrift struct in compact encoding.
/// \param limit maximum size of the result, in bytes
/// \return the bytes, or an error when they exceed the limit or the struct cannot be encoded
template <typename Struct>
[[nodiscard]] absl::StatusOr<std::string> encodeThrift(const Struct& wireStruct, char version, std::size_t limit)
{
    using apache::thrift::transport::TMemoryBuffer;
    try {
        const auto buffer = std::make_shared<TMemoryBuffer>();
        apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
        wireStruct.write(&protocol);
        std::string bytes(1, version);
        bytes += buffer->getBufferAsString();
        if (bytes.size() > limit)
            return absl::ResourceExhaustedError(
                fmt::format("encoded message is {} bytes long; the limit is {} bytes", bytes.size(), limit));
        return bytes;
    } catch (const std::exception& error) {
        return absl::InternalError(fmt::format("cannot encode: {}", error.what()));
    }
}

/// Decodes the output of `encodeThrift`.
/// \param limit maximum size of the message, in bytes
/// \param maxEntries maximum number of entries of a list
/// \return the struct, or an error when the version is unknown, the message is malformed or too large, or trailing
/// bytes follow
template <typename Struct>
[[nodiscard]] absl::StatusOr<Struct> decodeThrift(
    std::string_view bytes, char version, std::size_t limit, int maxEntries)
{
    using apache::thrift::transport::TMemoryBuffer;
    if (bytes.empty() || bytes.size() > limit)
        return absl::InvalidArgumentError(
            fmt::format("message is {} bytes long; it must have 1 to {} bytes", bytes.size(), limit));
    if (bytes.front() != version)
        return absl::UnimplementedError(fmt::format("unknown version {}", static_cast<int>(bytes.front())));
    bytes.remove_prefix(1);
    const auto size = static_cast<int>(bytes.size());
    try {
        // In OBSERVE mode the buffer does not write to the bytes.
        auto* const data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
        const auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()),
            TMemoryBuffer::OBSERVE, std::make_shared<apache::thrift::TConfiguration>(size, size, maxThriftDepth));
        apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer, size, maxEntries);
        Struct wireStruct;
        wireStruct.read(&protocol);
        if (buffer->available_read() != 0)
            return absl::InvalidArgumentError(
                fmt::format("{} unexpected bytes after the message", buffer->available_read()));
        return wireStruct;
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(fmt::format("cannot decode: {}", error.what()));
    }
}

} // namespace acaciaslip::protocol
