#include "app/dump_reading.hpp"

#include <fmt/format.h>

namespace acaciaslip::app {

namespace {

constexpr double recentMessageMilliseconds = 5000;

const nlohmann::json* findMember(const nlohmann::json& object, std::string_view key)
{
    if (!object.is_object())
        return nullptr;
    const auto found = object.find(std::string(key));
    return found == object.end() ? nullptr : &*found;
}

} // namespace

std::string readText(const nlohmann::json& object, std::string_view key)
{
    const auto* member = findMember(object, key);
    return member != nullptr && member->is_string() ? member->get<std::string>() : "-";
}

std::optional<double> parseUnsigned(const nlohmann::json& object, std::string_view key)
{
    const auto* member = findMember(object, key);
    if (member == nullptr || !member->is_number())
        return std::nullopt;
    return member->get<double>();
}

std::string readCount(const nlohmann::json& object, std::string_view key)
{
    const auto number = parseUnsigned(object, key);
    return number ? fmt::format("{:.0f}", *number) : "-";
}

bool readFlag(const nlohmann::json& object, std::string_view key)
{
    const auto* member = findMember(object, key);
    return member != nullptr && member->is_boolean() && member->get<bool>();
}

const nlohmann::json& readObject(const nlohmann::json& object, std::string_view key)
{
    static const nlohmann::json empty = nlohmann::json::object();
    const auto* member = findMember(object, key);
    return member != nullptr && member->is_object() ? *member : empty;
}

std::string formatDuration(std::optional<double> milliseconds)
{
    constexpr double second = 1000;
    constexpr double minute = 60 * second;
    constexpr double hour = 60 * minute;
    if (!milliseconds)
        return "-";
    if (*milliseconds < second)
        return fmt::format("{:.0f} ms", *milliseconds);
    if (*milliseconds < 2 * minute)
        return fmt::format("{:.1f} s", *milliseconds / second);
    if (*milliseconds < 2 * hour)
        return fmt::format("{:.0f} min", *milliseconds / minute);
    return fmt::format("{:.1f} h", *milliseconds / hour);
}

std::string findRestriction(const nlohmann::json& server)
{
    auto listing = readText(server, "listing");
    auto condition = readText(server, "condition");
    if (listing != "live")
        return listing;
    if (readFlag(server, "data_centre_out"))
        return "data centre out";
    if (condition == "warm")
        return readFlag(readObject(server, "report"), "draining") ? "says draining" : "";
    return condition;
}

std::size_t countRecentPeers(const nlohmann::json& dump)
{
    std::size_t recentPeers = 0;
    for (const auto& peer : readObject(dump, "peers")) {
        const auto age = parseUnsigned(peer, "heard_age_ms");
        recentPeers += age && *age <= recentMessageMilliseconds ? 1 : 0;
    }
    return recentPeers;
}

std::vector<std::string> findProblems(const nlohmann::json& dump)
{
    std::vector<std::string> troubles;
    const auto phase = readText(dump, "phase");
    if (phase == "starting")
        troubles.emplace_back(
            "has no settings in force yet and refuses every request: check the platform and the peers");
    else if (phase != "serving")
        troubles.push_back(
            fmt::format("is leaving ({} for {})", phase, formatDuration(parseUnsigned(dump, "phase_age_ms"))));
    if (readFlag(dump, "picture_suspect"))
        troubles.push_back(fmt::format("was paused; its picture may be old since {}",
            formatDuration(parseUnsigned(dump, "picture_suspect_age_ms"))));
    for (const auto& [key, value] : readObject(dump, "values").items()) {
        const auto& refused = readObject(value, "refused");
        if (!refused.empty())
            troubles.push_back(fmt::format("refuses revision {} of {} and keeps {}:\n      {}",
                readCount(refused, "revision"), key, readCount(value, "revision"), readText(refused, "why")));
    }
    if (readFlag(dump, "on_old_picture"))
        troubles.emplace_back("was paused and nobody answered since: it acts on the picture from before");
    const auto peers = readObject(dump, "peers").size();
    const auto recentPeers = countRecentPeers(dump);
    if (recentPeers < peers)
        troubles.push_back(
            fmt::format("hears {} of {} peers: a partition, or hosts that are gone", recentPeers, peers));
    return troubles;
}

} // namespace acaciaslip::app
