#pragma once

#include "coordination/message_size.hpp"
#include "state/peer_message.hpp"

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace acaciaslip::protocol {

/// The one version of datagrams and frames that this build speaks.
inline constexpr char peerVersion = 1;
/// The largest published value that nodes pass on, in bytes.
inline constexpr std::size_t maxValueBytes = 1024ULL * 1024;
/// The largest frame that carries a request for a value, in bytes.
inline constexpr std::size_t maxRequestFrameBytes = 512;
/// The largest frame that carries a value, in bytes.
inline constexpr std::size_t maxAnswerFrameBytes = maxValueBytes + 512;

/// Asks a node for a value newer than a revision.
struct value_request {
    state::value_key key;
    state::revision after = 0;

    [[nodiscard]] bool operator==(const value_request&) const = default;
};

/// A node's answer to a value_request.
struct value_answer {
    state::value_key key;
    state::revision number = 0; ///< 0: nothing newer
    std::string body;

    [[nodiscard]] bool operator==(const value_answer&) const = default;
};

/// Encodes a datagram.
/// \return its bytes, or an error when a name, a list or the whole is longer than its limit
[[nodiscard]] absl::StatusOr<std::string> encodeDatagram(const state::peer_message& message);

/// Decodes a datagram.
/// \return the whole message, or an error when any part is unknown, missing, too long or left over
[[nodiscard]] absl::StatusOr<state::peer_message> decodeDatagram(std::string_view bytes);

/// Encodes a request for a value.
[[nodiscard]] absl::StatusOr<std::string> encodeValueRequest(const value_request& request);

/// Decodes a request for a value.
[[nodiscard]] absl::StatusOr<value_request> decodeValueRequest(std::string_view bytes);

/// Encodes a value.
[[nodiscard]] absl::StatusOr<std::string> encodeValueAnswer(const value_answer& answer);

/// Decodes a value.
[[nodiscard]] absl::StatusOr<value_answer> decodeValueAnswer(std::string_view bytes);

} // namespace acaciaslip::protocol
