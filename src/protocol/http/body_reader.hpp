#pragma once

#include "protocol/http/head_reader.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace acaciaslip::protocol::http {

/// Decodes a message body incrementally. Malformed chunks are rejected.
class body_reader {
public:
    body_reader() = default;

    /// \param length of the body in bytes, with body_framing::length
    /// \param maxBytes maximum size of the content, in bytes
    body_reader(body_framing framing, std::uint64_t length, std::uint64_t maxBytes) noexcept;

    /// Consumes bytes from the front of the input, up to the end of the body.
    /// \param input received bytes; the consumed ones are removed
    /// \return complete at the end of the body, incomplete when bytes are missing, or the error
    parse_status consume(std::string_view& input);

    /// The content decoded so far.
    [[nodiscard]] std::string& content() noexcept { return m_content; }

private:
    enum class stage { content, until_close, chunk_size, chunk, chunk_end, trailer, complete };

    parse_status takeLine(std::string_view& input);
    parse_status processLine();
    parse_status startChunk();
    void takeContent(std::string_view& input);

    stage m_stage = stage::complete;
    std::uint64_t m_remaining = 0; ///< missing bytes of the body or of the current chunk
    std::uint64_t m_maxBytes = 0;
    std::string m_line; ///< received part of a chunk-size line or a trailer
    std::string m_content;
    std::size_t m_trailerBytes = 0;
    std::size_t m_framingBytes = 0; ///< around the chunks so far
};

} // namespace acaciaslip::protocol::http
