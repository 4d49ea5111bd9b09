#pragma once

#include "protocol/http/head_reader.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace acaciaslip::protocol::http {

/// Takes a body's bytes as they come and gives its content; strict about chunks.
class body_reader {
public:
    body_reader() = default;

    /// \param length of the body in bytes, with body_framing::length
    /// \param mostBytes the largest content
    body_reader(body_framing framing, std::uint64_t length, std::uint64_t mostBytes) noexcept;

    /// Takes bytes off the front of the input, none beyond the body's end.
    /// \param input what has arrived; shortened by what was taken
    parse_progress take(std::string_view& input);

    /// The content read so far.
    [[nodiscard]] std::string& content() noexcept { return m_content; }

private:
    enum class stage { content, rest, chunk_size, chunk, chunk_end, trailer, whole };

    parse_progress takeLine(std::string_view& input);
    parse_progress useLine();
    parse_progress startChunk();
    void takeContent(std::string_view& input);

    stage m_stage = stage::whole;
    std::uint64_t m_left = 0; ///< bytes of the body or of the chunk that are missing
    std::uint64_t m_mostBytes = 0;
    std::string m_line; ///< a chunk's size line, or a trailer, as far as it has come
    std::string m_content;
};

} // namespace acaciaslip::protocol::http
