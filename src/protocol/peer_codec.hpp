#pragma once

#include "coordination/message_size.hpp"
#include "state/peer_message.hpp"

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace acaciaslip::protocol {

/// The only version of datagrams and frames that this build supports.
inline constexpr char peerProtocolVersion = 1;
/// Maximum size of a published value that nodes forward, in bytes.
inline constexpr std::size_t maxValueBytes = 1024ULL * 1024;
/// Maximum size of a frame that carries a value request, in bytes.
inline constexpr std::size_t maxRequestFrameBytes = 512;
/// Maximum size of a frame that carries a value, in bytes.
inline constexpr std::size_t maxValueFrameBytes = maxValueBytes + 512;

/// Request to a node for a value newer than a revision.
struct value_request {
    state::value_key key;
    state::revision after = 0;

    [[nodiscard]] bool operator==(const value_request&) const = default;
};

/// Reply of a node to a value_request.
struct value_answer {
    state::value_key key;
    state::revision revision = 0; ///< revision of the value; 0 if there is none newer
    std::string body;

    [[nodiscard]] bool operator==(const value_answer&) const = default;
};

/// Encodes a datagram.
/// \return its bytes, or an error when a name, a list or the datagram exceeds its size limit
[[nodiscard]] absl::StatusOr<std::string> encodeDatagram(const state::peer_message& message);

/// Decodes a datagram.
/// \return the message, or an error when a part is unknown, missing or too long, or when trailing bytes follow
[[nodiscard]] absl::StatusOr<state::peer_message> decodeDatagram(std::string_view bytes);

/// Encodes a value request.
/// \return its bytes, or an error when the key is empty or too long, or the revision is out of range
[[nodiscard]] absl::StatusOr<std::string> encodeValueRequest(const value_request& request);

/// Decodes a value request.
/// \return the request, or an error when it is malformed or exceeds a size limit
[[nodiscard]] absl::StatusOr<value_request> decodeValueRequest(std::string_view bytes);

/// Encodes a value.
/// \return its bytes, or an error when the key or the value exceeds its size limit
[[nodiscard]] absl::StatusOr<std::string> encodeValueAnswer(const value_answer& answer);

/// Decodes a value.
/// \return the value, or an error when it is malformed or exceeds a size limit
[[nodiscard]] absl::StatusOr<value_answer> decodeValueAnswer(std::string_view bytes);

} // namespace acaciaslip::protocol
