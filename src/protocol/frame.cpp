#include "protocol/frame.hpp"

#include <fmt/format.h>

namespace acaciaslip::protocol {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr unsigned byteBits = 8;

} // namespace

std::string writeFrame(std::string_view payload)
{
    std::string frame;
    frame.reserve(lengthBytes + payload.size());
    for (auto shift = lengthBytes; shift > 0; --shift)
        frame += static_cast<char>((payload.size() >> ((shift - 1) * byteBits)) & 0xffU);
    return frame.append(payload);
}

std::optional<absl::StatusOr<std::string>> frame_reader::append(std::string_view bytes)
{
    m_received.append(bytes);
    if (m_received.size() < lengthBytes)
        return std::nullopt;
    std::size_t size = 0;
    for (const char byte : std::string_view(m_received).substr(0, lengthBytes))
        size = (size << byteBits) | static_cast<unsigned char>(byte);
    if (size > m_limit)
        return absl::ResourceExhaustedError(
            fmt::format("frame is {} bytes long; the limit is {} bytes", size, m_limit));
    if (m_received.size() < lengthBytes + size)
        return std::nullopt;
    if (m_received.size() > lengthBytes + size)
        return absl::InvalidArgumentError("unexpected bytes after the frame");
    return m_received.substr(lengthBytes);
}

} // namespace acaciaslip::protocol
