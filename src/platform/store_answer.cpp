#include "platform/store_answer.hpp"

#include "platform/json_text.hpp"

#include <cctype>
#include <utility>

#include <fmt/format.h>

namespace acaciaslip::platform {

namespace {

using nlohmann::json;

absl::Status fieldError(std::string_view field, std::string_view problem)
{
    return absl::InvalidArgumentError(fmt::format("answer of the store: field '{}' {}", field, problem));
}

/// Whether another page follows.
absl::StatusOr<bool> readHasMore(const json& page)
{
    const auto found = page.find("has-more");
    if (found == page.end())
        return false;
    if (!found->is_boolean())
        return fieldError("has-more", "is not true or false");
    return found->get<bool>();
}

absl::StatusOr<std::string> readLastKey(const json& items, std::string_view previousKey)
{
    if (items.empty())
        return fieldError("has-more", "is true on a page without items");
    const auto& last = items.back();
    if (!last.is_object() || !last.contains("key") || !last["key"].is_string())
        return fieldError("key", "of the last item is missing or not a string, so the next page cannot be requested");
    auto key = last["key"].get<std::string>();
    if (key <= previousKey)
        return fieldError("key", "of the last item does not come after the previous page");
    return key;
}

} // namespace

absl::StatusOr<store_answer> readStoreAnswer(
    std::string_view body, const char* itemsField, std::string_view previousKey)
{
    auto parsed = parseJson(body);
    if (!parsed.is_object())
        return absl::InvalidArgumentError("answer of the store: not a JSON object");
    const auto asOf = parsed.find("as-of");
    if (asOf == parsed.end() || !asOf->is_number_unsigned())
        return fieldError("as-of", "is missing or not a whole number");
    store_answer answer;
    answer.asOf = asOf->get<state::revision>();
    if (answer.asOf >= state::revisionsPerEra)
        return fieldError("as-of", "is out of range");
    if (const auto items = parsed.find(itemsField); items != parsed.end()) {
        if (!items->is_array())
            return fieldError(itemsField, "is not a list");
        answer.items = std::move(*items);
    }
    const auto hasMore = readHasMore(parsed);
    if (!hasMore.ok())
        return hasMore.status();
    if (*hasMore) {
        auto key = readLastKey(answer.items, previousKey);
        if (!key.ok())
            return key.status();
        answer.nextPageAfter = *std::move(key);
    }
    return answer;
}

std::string encodeQueryValue(std::string_view key)
{
    constexpr std::string_view unreserved = "-._~/";
    std::string encoded;
    for (const char character : key) {
        const auto code = static_cast<unsigned char>(character);
        if (std::isalnum(code) != 0 || unreserved.find(character) != std::string_view::npos)
            encoded += character;
        else
            encoded += fmt::format("%{:02X}", code);
    }
    return encoded;
}

} // namespace acaciaslip::platform
