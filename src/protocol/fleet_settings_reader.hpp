#pragma once

#include "protocol/published_values.hpp"
#include "state/fleet_settings.hpp"
#include "state/identifiers.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <absl/status/statusor.h>

namespace acaciaslip::protocol {

/// Values that were read and checked each by itself, by key.
using checked_values = std::map<state::value_key, std::shared_ptr<const checked_value>>;

/// Reads and checks all published values together: templates expanded, hosts, data centres out.
/// \param bodies the values' texts by key; those that are missing count as empty
/// \return the settings, or every error at once with key, line and column
[[nodiscard]] absl::StatusOr<state::fleet_settings> readFleetSettings(
    const std::map<state::value_key, std::string>& bodies);

/// Joins values that were checked each by itself, and checks them against one another.
[[nodiscard]] absl::StatusOr<state::fleet_settings> joinValues(const checked_values& values);

/// Remembers how each value was read, so that a change of one value doesn't read all others again.
///
/// Gives the same result as readFleetSettings. Safe from any thread: a value that has just been fetched may be read
/// ahead beside the loop, which then finds it ready.
class fleet_settings_cache {
public:
    /// Reads one value ahead.
    void prepare(const state::value_key& key, const std::string& body);

    /// Reads all values together.
    [[nodiscard]] absl::StatusOr<state::fleet_settings> read(const std::map<state::value_key, std::string>& bodies);

private:
    struct entry {
        std::string body;
        std::shared_ptr<const checked_value> value;
    };

    std::shared_ptr<const checked_value> findOrCheck(const state::value_key& key, const std::string& body);

    std::mutex m_mutex;
    std::map<state::value_key, entry> m_entries; ///< the newest that was read of each key
};

} // namespace acaciaslip::protocol
