#pragma once

#include "protocol/service_templates.hpp"
#include "protocol/settings_schema.hpp"
#include "state/fleet_settings.hpp"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciaslip::protocol {

/// Content of a published value.
enum class value_kind { index, templates, data_centres, hosts, team };

inline constexpr std::string_view indexKey = "acaciaslip/index";
inline constexpr std::string_view templatesKey = "acaciaslip/templates";
inline constexpr std::string_view dataCentresKey = "acaciaslip/data_centres";
inline constexpr std::string_view hostsKey = "acaciaslip/hosts";
inline constexpr std::string_view teamKeyPrefix = "acaciaslip/teams/";

/// Largest revision of a value. Larger ones would not fit in the signed numbers of peer messages.
inline constexpr state::revision maxRevision = 9'000'000'000'000'000;

/// Parses the revision that the platform sends with a value.
/// \return the revision, or nothing if the text is not a whole number from 1 to `maxRevision`
[[nodiscard]] std::optional<state::revision> parseRevision(std::string_view text);

/// Returns the content of the value at a key, or nothing for an unknown key.
[[nodiscard]] std::optional<value_kind> findValueKind(std::string_view key);

/// A published value, parsed and checked independently of the others.
struct parsed_value {
    value_kind kind = value_kind::index;
    yaml_document document;
    bool isValidYaml = false; ///< the text is valid YAML
    issue_list issues;
    std::map<state::value_key, state::revision> indexedRevisions; ///< only for the index: revisions by key
    std::vector<state::data_centre_id> evacuatedDataCentres; ///< only for the data centres: those out of service
    std::vector<state::host_record> hosts; ///< only for the host list
    template_table templates; ///< only for the templates; refers to `document`
    std::string team; ///< only for a team
    std::vector<located_value> templateUses; ///< only for a team: its template uses; refer to `document`

    parsed_value() = default;
    parsed_value(const parsed_value&) = delete;
    parsed_value& operator=(const parsed_value&) = delete;
    ~parsed_value() = default;
};

/// Parses one value and performs all checks that do not depend on other values.
/// \param name name of the value in error messages
void parseValue(parsed_value& value, std::string_view key, std::string name, std::string_view body);

} // namespace acaciaslip::protocol
