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

/// Independently parsed and checked values by key.
using parsed_values = std::map<state::value_key, std::shared_ptr<const parsed_value>>;

/// Parses and checks all published values together and expands the templates.
/// \param bodies texts of the values by key; a missing value counts as empty
/// \return the settings, or one error that lists every problem with key, line and column
[[nodiscard]] absl::StatusOr<state::fleet_settings> readFleetSettings(
    const std::map<state::value_key, std::string>& bodies);

/// Combines independently checked values into settings and checks them for conflicts with each other.
[[nodiscard]] absl::StatusOr<state::fleet_settings> combineValues(const parsed_values& values);

/// Caches parsed values, so that a change of one value does not require parsing all others again.
///
/// Returns the same result as readFleetSettings. Thread-safe: a newly fetched value can be parsed on a worker thread,
/// so that the event loop finds it in the cache.
class fleet_settings_cache {
public:
    /// Parses one value in advance.
    void parseAhead(const state::value_key& key, const std::string& body);

    /// Reads all values together; unchanged values come from the cache.
    [[nodiscard]] absl::StatusOr<state::fleet_settings> read(const std::map<state::value_key, std::string>& bodies);

private:
    struct entry {
        std::string body;
        std::shared_ptr<const parsed_value> value;
    };

    std::shared_ptr<const parsed_value> findOrCheck(const state::value_key& key, const std::string& body);

    std::mutex m_mutex;
    std::map<state::value_key, entry> m_entries; ///< most recently parsed value of each key
};

} // namespace acaciaslip::protocol
