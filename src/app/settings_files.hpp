#pragma once

#include "state/identifiers.hpp"

#include <map>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace acaciaslip::app {

/// Path and content of a file.
struct settings_file {
    std::string path;
    std::string text;
};

/// Files grouped by their kind of content.
struct settings_files {
    std::vector<settings_file> nodes; ///< node.yaml files
    std::map<state::value_key, settings_file> values; ///< the platform's values by key
    std::vector<std::string> notes; ///< files that were read in addition to the given ones
};

/// Loads files and folders, and determines the kind of content of each file.
/// \details A file below a folder named "acaciaslip" contains the value at that path. The content of any other file is
/// determined from its keys. The templates next to the folder of a team's file are loaded too, unless templates were
/// given.
/// \return the files, or an error that lists every file that cannot be read or whose content is unknown
[[nodiscard]] absl::StatusOr<settings_files> loadSettingsFiles(const std::vector<std::string>& paths);

} // namespace acaciaslip::app
