#pragma once

#include "protocol/http_head.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace acaciaslip::protocol {

/// How far a body has been read.
enum class body_progress {
    more, ///< bytes are missing
    whole,
    malformed, ///< a chunk is not well formed
    too_large,
};

/// Takes a body's bytes as they come and gives its content; strict about chunks.
class body_reader {
public:
    body_reader() = default;

    /// \param length of the body in bytes, with body_framing::length
    /// \param mostBytes the largest content
    body_reader(body_framing framing, std::uint64_t length, std::uint64_t mostBytes) noexcept;

    /// Takes bytes off the front of the input, none beyond the body's end.
    /// \param input what has arrived; shortened by what was taken
    body_progress take(std::string_view& input);

    /// The content read so far.
    [[nodiscard]] std::string& content() noexcept { return m_content; }

private:
    enum class stage { content, chunk_size, chunk, chunk_end, trailer, whole };

    body_progress takeLine(std::string_view& input);
    body_progress useLine();
    body_progress startChunk();
    void takeContent(std::string_view& input);

    stage m_stage = stage::whole;
    std::uint64_t m_left = 0; ///< bytes of the body or of the chunk that are missing
    std::uint64_t m_mostBytes = 0;
    std::string m_line; ///< a chunk's size line, or a trailer, as far as it has come
    std::string m_content;
};

} // namespace acaciaslip::protocol
