#pragma once

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <pcg_random.hpp>

namespace acaciaslip {

/// Changes a text at one random place: removes, replaces or repeats a part of it, or inserts a fragment.
/// \param fragments texts that have a meaning in the format
inline void mutateText(std::string& text, std::span<const std::string_view> fragments, pcg32& random)
{
    constexpr std::uint32_t mostRemoved = 8;
    constexpr std::uint32_t mostRepeated = 40;
    constexpr std::uint32_t byteValues = 256;
    const auto at = random(static_cast<std::uint32_t>(text.size() + 1));
    const auto fragment = fragments[random(static_cast<std::uint32_t>(fragments.size()))];
    switch (random(5)) { // NOLINT: number of cases
    case 0:
        text.erase(at, 1 + random(mostRemoved));
        break;
    case 1:
        text.insert(at, fragment);
        break;
    case 2:
        if (at < text.size())
            text[at] = static_cast<char>(random(byteValues));
        break;
    case 3:
        text.insert(at, text.substr(random(static_cast<std::uint32_t>(text.size() + 1)), mostRepeated));
        break;
    default:
        text.replace(at, std::min(fragment.size(), text.size() - at), fragment);
    }
}

} // namespace acaciaslip
