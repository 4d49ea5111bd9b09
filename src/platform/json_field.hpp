#pragma once

#include "platform/duration_parser.hpp"
#include "state/time.hpp"

#include <algorithm>
#include <limits>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

/// Reads fields of JSON objects. A field that is missing or has another type is reported by throwing `field_error`,
/// which the readers of `platform` catch.
namespace acaciaslip::platform::json_field {

/// Names a field that cannot be read.
struct field_error {
    std::string field;
};

/// \return the value of a field
[[nodiscard]] inline const nlohmann::json& at(const nlohmann::json& from, const char* field)
{
    const auto found = from.is_object() ? from.find(field) : from.end();
    if (!from.is_object() || found == from.end())
        throw field_error { field };
    return *found;
}

/// \param maxBytes longest text
/// \return a text that is not empty
[[nodiscard]] inline std::string text(
    const nlohmann::json& from, const char* field, std::size_t maxBytes = std::string::npos)
{
    const auto& value = at(from, field);
    if (!value.is_string())
        throw field_error { field };
    const auto& read = value.get_ref<const std::string&>();
    if (read.empty() || read.size() > maxBytes)
        throw field_error { field };
    return read;
}

/// \return a number that is not negative and within the range of its type
template <typename Number> [[nodiscard]] Number number(const nlohmann::json& from, const char* field)
{
    const auto& value = at(from, field);
    if (!value.is_number())
        throw field_error { field };
    const auto read = value.get<double>();
    constexpr double maxExactInteger = 9007199254740992; // larger doubles cannot represent every integer
    const auto highest = std::min(maxExactInteger, static_cast<double>(std::numeric_limits<Number>::max()));
    if (!(read >= 0) || read > highest)
        throw field_error { field };
    return static_cast<Number>(read);
}

/// \return a JSON boolean; texts and numbers are not accepted in its place
[[nodiscard]] inline bool flag(const nlohmann::json& from, const char* field)
{
    const auto& value = at(from, field);
    if (!value.is_boolean())
        throw field_error { field };
    return value.get<bool>();
}

/// \return a duration written as a number with its unit
[[nodiscard]] inline state::duration duration(const nlohmann::json& from, const char* field)
{
    const auto& value = at(from, field);
    const auto read = value.is_string() ? parseDuration(value.get_ref<const std::string&>()) : std::nullopt;
    if (!read)
        throw field_error { field };
    return *read;
}

/// \return likewise, or zero without the field
[[nodiscard]] inline state::duration durationOrZero(const nlohmann::json& from, const char* field)
{
    return from.contains(field) ? duration(from, field) : state::duration {};
}

} // namespace acaciaslip::platform::json_field
