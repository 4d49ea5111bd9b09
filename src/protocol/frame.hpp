#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace acaciaslip::protocol {

/// Puts a payload into a frame: four bytes of length, the highest first, then the payload.
[[nodiscard]] std::string writeFrame(std::string_view payload);

/// Puts one frame together from bytes as they come.
class frame_reader {
public:
    /// \param limit of the payload, in bytes
    explicit frame_reader(std::size_t limit) noexcept
        : m_limit(limit)
    {
    }

    /// Takes what has arrived.
    /// \return the payload once it is whole, nothing before; an error when it is over the limit or has bytes behind it
    [[nodiscard]] std::optional<absl::StatusOr<std::string>> take(std::string_view bytes);

private:
    std::size_t m_limit;
    std::string m_received;
};

} // namespace acaciaslip::protocol
