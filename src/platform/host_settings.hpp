#pragma once

#include "coordination/gateway/settings.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace acaciaslip::platform {

/// Settings that the platform provides to a process about its host and the deployment.
struct host_settings {
    state::host_id id;
    std::string ip;
    state::data_centre_id dataCentre;
    std::string callerAddress; ///< "ip:port" of the listener for callers
    std::string healthAddress; ///< "ip:port" for health checks by the platform's load balancer
    std::string operatorAddress; ///< "ip:port" for operators and other hosts; empty if the role has none
    int firstInternalPort = 0; ///< first of the ports reserved for traffic between hosts; 0 if there are none
    std::vector<std::string> seedAddresses; ///< operators' addresses of some hosts; some of them may be down
    std::string storeAddress; ///< "ip:port" of the platform's store
    std::uint64_t memoryBytes = 167772160; ///< memory that the process may use; the default suits small hosts
    coordination::gateway::fleet_limits limits;
};

/// Environment variable that contains the path of the settings file.
inline constexpr const char* settingsVariable = "ACACIASLIP_NODE_FILE";

/// Parses the text of the settings file. Unknown fields are ignored.
/// \param file name of the file in error messages
/// \return the settings, or one error that lists every missing or invalid field with file, line and column
[[nodiscard]] absl::StatusOr<host_settings> readHostSettings(const std::string& text, const std::string& file);

/// Reads the settings file.
[[nodiscard]] absl::StatusOr<host_settings> loadHostSettings(const std::string& file);

} // namespace acaciaslip::platform
