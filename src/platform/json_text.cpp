#include "platform/json_text.hpp"

#include <cstddef>
#include <stdexcept>

#include <fmt/format.h>

namespace acaciaslip::platform {

namespace {

constexpr std::size_t maxDepth = 64; ///< the published values have fewer than ten levels

/// Whether the brackets outside of strings are nested deeper than `maxDepth`.
bool isNestedTooDeep(std::string_view text) noexcept
{
    std::size_t depth = 0;
    bool isInString = false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char character = text[position];
        if (character == '"')
            isInString = !isInString;
        else if (isInString)
            position += character == '\\' ? 1 : 0; // skips the escaped character
        else if (character == '[' || character == '{') {
            if (++depth > maxDepth)
                return true;
        } else if ((character == ']' || character == '}') && depth > 0)
            --depth;
    }
    return false;
}

} // namespace

nlohmann::json parseJsonOrThrow(std::string_view text)
{
    if (isNestedTooDeep(text))
        throw std::invalid_argument(fmt::format("nested deeper than {} levels", maxDepth));
    return nlohmann::json::parse(text);
}

nlohmann::json parseJson(std::string_view text)
{
    if (isNestedTooDeep(text))
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace acaciaslip::platform
