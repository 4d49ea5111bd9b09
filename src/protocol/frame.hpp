#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace acaciaslip::protocol {

/// Encodes a payload as a frame: a four-byte big-endian length followed by the payload.
[[nodiscard]] std::string writeFrame(std::string_view payload);

/// Assembles one frame from bytes as they are received.
class frame_reader {
public:
    /// \param limit maximum size of the payload, in bytes
    explicit frame_reader(std::size_t limit) noexcept
        : m_limit(limit)
    {
    }

    /// Appends received bytes.
    /// \return the payload once it is complete, std::nullopt before; an error when it exceeds the limit or when bytes
    /// follow the frame
    [[nodiscard]] std::optional<absl::StatusOr<std::string>> append(std::string_view bytes);

private:
    std::size_t m_limit;
    std::string m_received;
};

} // namespace acaciaslip::protocol
