#include "protocol/server_reports.hpp"

#include "coordination/message_size.hpp"

#include <limits>
#include <string>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace acaciaslip::protocol {

namespace {

std::optional<std::uint32_t> readCount(const nlohmann::json& root, const char* key)
{
    const auto found = root.find(key);
    if (found == root.end() || !found->is_number_unsigned())
        return std::nullopt;
    const auto count = found->get<std::uint64_t>();
    if (count > std::numeric_limits<std::uint32_t>::max())
        return std::nullopt;
    return static_cast<std::uint32_t>(count);
}

/// Returns a boot id that fits in peer messages. Boot ids are only compared, so that a digest can replace a long one.
std::string shortenBootId(const std::string& boot)
{
    if (boot.size() <= coordination::maxNameBytes)
        return boot;
    const auto digest = XXH3_128bits(boot.data(), boot.size());
    return fmt::format("{:016x}{:016x}", digest.high64, digest.low64);
}

nlohmann::json parse(std::string_view text)
{
    return nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
}

} // namespace

std::optional<coordination::reported_health> readHealth(std::string_view text)
{
    const auto root = parse(text);
    if (!root.is_object() || !root.contains("state") || !root["state"].is_string())
        return std::nullopt;
    return state::findValue<coordination::reported_health>(
        coordination::reportedHealthNames, root["state"].get<std::string>());
}

std::optional<coordination::reported_load> parseLoad(std::string_view text)
{
    const auto root = parse(text);
    if (!root.is_object() || !root.contains("boot") || !root["boot"].is_string())
        return std::nullopt;
    const auto inFlight = readCount(root, "in_flight");
    const auto queued = readCount(root, "queued");
    const auto slots = readCount(root, "slots");
    if (!inFlight || !queued || !slots)
        return std::nullopt;
    return coordination::reported_load { *inFlight, *queued, *slots,
        shortenBootId(root["boot"].get_ref<const std::string&>()) };
}

} // namespace acaciaslip::protocol
