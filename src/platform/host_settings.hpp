#pragma once

#include "coordination/gateway/settings.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace acaciaslip::platform {

/// What the platform tells one process about its host and the deployment.
struct host_settings {
    state::host_id id;
    std::string ip;
    state::data_centre_id dataCentre;
    std::string callers; ///< "ip:port" that callers reach
    std::string health; ///< "ip:port" that the platform's balancer asks
    std::string operators; ///< "ip:port" of our own interface between hosts; empty when the role serves none
    int firstInternalPort = 0; ///< of the ports that are free for traffic between hosts
    std::vector<std::string> seeds; ///< operators' addresses of some hosts, which may be down
    std::string store; ///< "ip:port" of the platform's store
    coordination::gateway::fleet_bounds bounds;
};

/// Name of the environment variable that holds the path of the settings file.
inline constexpr const char* settingsVariable = "ACACIASLIP_NODE_FILE";

/// Reads the settings file's text. Fields that are not known are passed over.
/// \param file its name, for errors
/// \return the settings, or what is missing or wrong, with file, line and column
[[nodiscard]] absl::StatusOr<host_settings> readHostSettings(const std::string& text, const std::string& file);

/// Reads the settings file.
[[nodiscard]] absl::StatusOr<host_settings> loadHostSettings(const std::string& file);

} // namespace acaciaslip::platform
