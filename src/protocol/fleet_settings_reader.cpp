#include "protocol/fleet_settings_reader.hpp"

#include <set>
#include <utility>

namespace acaciaslip::protocol {

namespace {

/// Collects the services of all teams and detects conflicting names and routes.
struct service_collector {
    const template_table* templates = nullptr; ///< null if no templates are published
    issue_list& issues;
    std::vector<state::service_settings> services;
    std::set<state::service_name> names;
    std::map<std::pair<std::string, std::string>, state::service_name> routes; ///< by host and path prefix

    void add(const std::string& team, const located_value& use)
    {
        const auto description = expandTemplate(use, *templates, issues);
        if (!description)
            return;
        const auto issuesBefore = issues.size();
        auto service = readServiceSettings(team, *description, issues);
        if (issues.size() != issuesBefore || service.name.name.empty())
            return;
        if (!names.insert(service.name).second)
            addIssue(issues, use,
                fmt::format("the team '{}' has two services named '{}'; rename one", team, service.name.name));
        const auto [existing, added] = routes.try_emplace({ service.host, service.pathPrefix }, service.name);
        if (!added)
            addIssue(issues, use,
                fmt::format("the route '{}{}' is already used by {}/{}; choose another path_prefix or host",
                    service.host, service.pathPrefix, existing->second.team, existing->second.name));
        services.push_back(std::move(service));
    }
};

void mergeTeams(const parsed_values& values, state::fleet_settings& settings, issue_list& issues)
{
    const auto found = values.find(std::string(templatesKey));
    const bool published = found != values.end();
    if (published && !found->second->isValidYaml)
        return; // the templates' parse error is already reported
    service_collector collector { published ? &found->second->templates : nullptr, issues, {}, {}, {} };
    for (const auto& [key, value] : values) {
        if (value->kind != value_kind::team || value->templateUses.empty())
            continue;
        if (!published) {
            addIssue(issues, value->templateUses.front(),
                fmt::format("the team uses templates, but there are none; provide '{}' as well", templatesKey));
            continue;
        }
        for (const auto& use : value->templateUses)
            collector.add(value->team, use);
    }
    settings.services = std::move(collector.services);
}

} // namespace

absl::StatusOr<state::fleet_settings> combineValues(const parsed_values& values)
{
    state::fleet_settings settings;
    issue_list issues;
    for (const auto& [key, value] : values) {
        issues.insert(issues.end(), value->issues.begin(), value->issues.end());
        if (value->kind == value_kind::index)
            settings.indexedRevisions = value->indexedRevisions;
        if (value->kind == value_kind::data_centres)
            settings.evacuatedDataCentres = value->evacuatedDataCentres;
        if (value->kind == value_kind::hosts)
            settings.hosts = value->hosts;
    }
    mergeTeams(values, settings, issues);
    if (!issues.empty())
        return issuesToStatus(std::move(issues));
    return settings;
}

absl::StatusOr<state::fleet_settings> readFleetSettings(const std::map<state::value_key, std::string>& bodies)
{
    return fleet_settings_cache().read(bodies);
}

void fleet_settings_cache::parseAhead(const state::value_key& key, const std::string& body)
{
    (void)findOrCheck(key, body);
}

absl::StatusOr<state::fleet_settings> fleet_settings_cache::read(const std::map<state::value_key, std::string>& bodies)
{
    parsed_values values;
    for (const auto& [key, body] : bodies)
        values.emplace(key, findOrCheck(key, body));
    return combineValues(values);
}

std::shared_ptr<const parsed_value> fleet_settings_cache::findOrCheck(
    const state::value_key& key, const std::string& body)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_entries.find(key);
        if (found != m_entries.end() && found->second.body == body)
            return found->second.value;
    }
    auto value = std::make_shared<parsed_value>();
    parseValue(*value, key, key, body);
    const std::lock_guard lock(m_mutex);
    m_entries[key] = { body, value };
    return value;
}

} // namespace acaciaslip::protocol
