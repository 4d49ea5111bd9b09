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

/// What a published value holds.
enum class value_kind { index, templates, data_centres, hosts, team };

inline constexpr std::string_view indexKey = "acaciaslip/index";
inline constexpr std::string_view templatesKey = "acaciaslip/templates";
inline constexpr std::string_view dataCentresKey = "acaciaslip/data_centres";
inline constexpr std::string_view hostsKey = "acaciaslip/hosts";
inline constexpr std::string_view teamKeyPrefix = "acaciaslip/teams/";

/// What the value at a key holds; nothing for a key that is not read.
[[nodiscard]] std::optional<value_kind> kindOfKey(std::string_view key);

/// One published value, read and checked by itself.
struct checked_value {
    value_kind kind = value_kind::index;
    yaml_document document;
    bool readable = false; ///< the text is YAML
    issue_list issues;
    std::map<state::value_key, state::revision> indexed; ///< of the index
    std::vector<state::data_centre_id> dataCentresOut; ///< of the data centres
    std::vector<state::host_record> hosts; ///< of the hosts
    template_table templates; ///< of the templates; refers to the document
    std::string team; ///< of a team
    std::vector<located_value> uses; ///< of a team: its uses of templates; refer to the document

    checked_value() = default;
    checked_value(const checked_value&) = delete;
    checked_value& operator=(const checked_value&) = delete;
    ~checked_value() = default;
};

/// Reads and checks one value as far as can be without the others.
/// \param name what errors call it
void checkValue(checked_value& value, std::string_view key, std::string name, std::string_view body);

} // namespace acaciaslip::protocol
