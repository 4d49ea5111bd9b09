#pragma once

#include "state/identifiers.hpp"

#include <map>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace acaciaslip::app {

/// A file's path and text.
struct settings_file {
    std::string path;
    std::string text;
};

/// Files sorted by what they hold.
struct settings_files {
    std::vector<settings_file> nodes; ///< node.yaml files
    std::map<state::value_key, settings_file> values; ///< the platform's values by key
    std::vector<std::string> notes; ///< what was taken beside the files that were named
};

/// Loads files and folders, and finds what each file holds.
/// \details A file below a folder named "acaciaslip" holds the value at that path. Any other is known by its keys. The
/// templates that lie beside a team's file are taken too, unless templates were named.
/// \return an error that names every file that can't be read or told
[[nodiscard]] absl::StatusOr<settings_files> loadSettingsFiles(const std::vector<std::string>& paths);

} // namespace acaciaslip::app
