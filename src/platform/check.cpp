#include "platform/check.hpp"

#include "platform/host_settings.hpp"
#include "platform/item_reader.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>

#include <fmt/format.h>

namespace acaciaslip::platform {

namespace {

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;

absl::StatusOr<std::string> readText(const std::string& path)
{
    std::ifstream stream(path);
    std::stringstream text;
    if (!stream || !(text << stream.rdbuf()))
        return absl::NotFoundError(fmt::format("{} cannot be read, or is empty; check the path", path));
    return text.str();
}

/// Lists routes to services that the configuration does not define. Such a configuration is well-formed but unusable.
std::string findDanglingRoutes(const state::gateway::configuration& config)
{
    std::string dangling;
    for (const auto& route : config.routes) {
        for (const auto& part : route.split) {
            if (state::gateway::findService(config, part.service) == nullptr)
                dangling += fmt::format("{}route '{}' goes to service '{}', which is not described",
                    dangling.empty() ? "" : "; ", route.name, part.service);
        }
    }
    return dangling;
}

absl::Status checkConfiguration(const std::string& path)
{
    const auto text = readText(path);
    if (!text.ok())
        return text.status();
    const auto config = readConfiguration(*text);
    if (!config.ok())
        return absl::InvalidArgumentError(fmt::format("{}: {}", path, std::string(config.status().message())));
    const auto dangling = findDanglingRoutes(*config);
    return dangling.empty() ? absl::OkStatus() : absl::InvalidArgumentError(fmt::format("{}: {}", path, dangling));
}

absl::Status checkFile(const std::string& path)
{
    return path.ends_with(".json") ? checkConfiguration(path) : loadHostSettings(path).status();
}

} // namespace

int checkPlatformFiles(const std::vector<std::string>& paths)
{
    bool allValid = true;
    for (const auto& path : paths) {
        const auto status = checkFile(path);
        allValid &= status.ok();
        if (status.ok())
            fmt::print("{}: good\n", path);
        else
            fmt::print(stderr, "{}\n", std::string(status.message()));
    }
    return allValid ? exitSuccess : exitFailure;
}

} // namespace acaciaslip::platform
