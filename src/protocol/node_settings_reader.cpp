#include "protocol/node_settings_reader.hpp"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace acaciaslip::protocol {

absl::StatusOr<state::node_settings> readNodeSettings(std::string_view text, const std::string& name)
{
    try {
        const auto root = YAML::Load(std::string(text));
        state::node_settings settings;
        settings.id = root["id"].as<std::string>();
        settings.dataCentre = root["data_centre"].as<std::string>();
        settings.callers = root["callers"].as<std::string>();
        settings.peers = root["peers"].as<std::string>();
        settings.operators = root["operators"].as<std::string>();
        settings.platform = root["platform"].as<std::vector<std::string>>();
        if (root["lame_duck_ms"])
            settings.lameDuck = std::chrono::milliseconds { root["lame_duck_ms"].as<int>() };
        if (root["log_level"])
            settings.logLevel = root["log_level"].as<std::string>();
        if (root["caller_threads"])
            settings.callerThreads = root["caller_threads"].as<std::uint32_t>();
        if (root["max_body_bytes"])
            settings.maxBodyBytes = root["max_body_bytes"].as<std::uint64_t>();
        return settings;
    } catch (const YAML::Exception& error) {
        return absl::InvalidArgumentError(
            fmt::format("{}:{}:{}: {}", name, error.mark.line + 1, error.mark.column + 1, error.msg));
    }
}

} // namespace acaciaslip::protocol
