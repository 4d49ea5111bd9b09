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
            report(issues, use,
                fmt::format("the team '{}' has two services named '{}'; rename one", team, service.name.name));
        const auto [existing, added] = routes.try_emplace({ service.host, service.pathPrefix }, service.name);
        if (!added)
            report(issues, use,
                fmt::format("the route '{}{}' is already used by {}/{}; choose another path_prefix or host",
                    service.host, service.pathPrefix, existing->second.team, existing->second.name));
        services.push_back(std::move(service));
    }
};

void mergeTeams(const checked_values& values, state::fleet_settings& settings, issue_list& issues)
{
    const auto found = values.find(std::string(templatesKey));
    const bool published = found != values.end();
    if (published && !found->second->readable)
        return; // the templates' parse error is already reported
    service_collector collector { published ? &found->second->templates : nullptr, issues, {}, {}, {} };
    for (const auto& [key, value] : values) {
        if (value->kind != value_kind::team || value->uses.empty())
            continue;
        if (!published) {
            report(issues, value->uses.front(),
                fmt::format("the team uses templates, but there are none; provide '{}' as well", templatesKey));
            continue;
        }
        for (const auto& use : value->uses)
            collector.add(value->team, use);
    }
    settings.services = std::move(collector.services);
}

} // namespace

absl::StatusOr<state::fleet_settings> joinValues(const checked_values& values)
{
    state::fleet_settings settings;
    issue_list issues;
    for (const auto& [key, value] : values) {
        issues.insert(issues.end(), value->issues.begin(), value->issues.end());
        if (value->kind == value_kind::index)
            settings.indexed = value->indexed;
        if (value->kind == value_kind::data_centres)
            settings.dataCentresOut = value->dataCentresOut;
        if (value->kind == value_kind::hosts)
            settings.hosts = value->hosts;
    }
    mergeTeams(values, settings, issues);
    if (!issues.empty())
        return toStatus(std::move(issues));
    return settings;
}

absl::StatusOr<state::fleet_settings> readFleetSettings(const std::map<state::value_key, std::string>& bodies)
{
    return fleet_settings_cache().read(bodies);
}

void fleet_settings_cache::prepare(const state::value_key& key, const std::string& body)
{
    (void)findOrCheck(key, body);
}

absl::StatusOr<state::fleet_settings> fleet_settings_cache::read(const std::map<state::value_key, std::string>& bodies)
{
    checked_values values;
    for (const auto& [key, body] : bodies)
        values.emplace(key, findOrCheck(key, body));
    return joinValues(values);
}

std::shared_ptr<const checked_value> fleet_settings_cache::findOrCheck(
    const state::value_key& key, const std::string& body)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_entries.find(key);
        if (found != m_entries.end() && found->second.body == body)
            return found->second.value;
    }
    auto value = std::make_shared<checked_value>();
    checkValue(*value, key, key, body);
    const std::lock_guard lock(m_mutex);
    m_entries[key] = { body, value };
    return value;
}

} // namespace acaciaslip::protocol
