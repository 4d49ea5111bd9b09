#include "protocol/service_templates.hpp"

#include <algorithm>
#include <array>

#include <fmt/ranges.h>

namespace acaciaslip::protocol {

namespace {

constexpr std::array<std::string_view, 2> templateKeys { "parameters", "service" };
constexpr std::array<std::string_view, 2> useKeys { "use", "with" };

/// Returns the name of the parameter that a value refers to, or nothing for a literal value.
std::optional<std::string_view> parameterName(const yaml_value& value)
{
    if (value.kind != yaml_kind::scalar || value.quoted || !value.text.starts_with('$'))
        return std::nullopt;
    return std::string_view(value.text).substr(1);
}

std::vector<std::string_view> parameterNames(const std::vector<template_parameter>& parameters)
{
    std::vector<std::string_view> names;
    names.reserve(parameters.size());
    for (const auto& parameter : parameters)
        names.push_back(parameter.name);
    return names;
}

/// Reads NAME, or {NAME: DEFAULT}.
std::optional<template_parameter> readParameter(const located_value& item, issue_list& issues)
{
    if (item.value->kind == yaml_kind::mapping && item.value->entries.size() == 1) {
        const auto& entry = item.value->entries.front();
        return template_parameter { entry.key, located_value { &entry.value, item.documentName } };
    }
    const auto name = readIdentifier(item, issues);
    if (!name)
        return std::nullopt;
    return template_parameter { *name, std::nullopt };
}

std::vector<template_parameter> readParameters(const located_value& list, issue_list& issues)
{
    std::vector<template_parameter> parameters;
    if (!checkSequence(list, issues))
        return parameters;
    for (const auto& item : list.value->items) {
        const located_value where { &item, list.documentName };
        auto parameter = readParameter(where, issues);
        if (!parameter)
            continue;
        const auto names = parameterNames(parameters);
        if (std::find(names.begin(), names.end(), parameter->name) != names.end())
            addIssue(issues, where, fmt::format("the parameter '{}' is given twice; keep one", parameter->name));
        else
            parameters.push_back(std::move(*parameter));
    }
    return parameters;
}

/// Checks that every "$NAME" refers to a parameter and that every literal value is valid.
void checkService(const service_template& definition, issue_list& issues)
{
    service_description description { definition.service, {} };
    const auto names = parameterNames(definition.parameters);
    for (const auto& entry : definition.service.value->entries) {
        const located_value value { &entry.value, definition.service.documentName };
        const auto parameter = parameterName(entry.value);
        if (parameter && std::find(names.begin(), names.end(), *parameter) == names.end())
            addIssue(issues, value,
                fmt::format("'${}' is not a parameter{}; add it to 'parameters' or write a value", *parameter,
                    suggest(*parameter, names)));
        description.values[entry.key] = parameter ? located_value {} : value;
    }
    (void)readServiceSettings("", description, issues);
}

std::optional<service_template> readTemplate(const located_value& body, issue_list& issues)
{
    if (!checkMapping(body, templateKeys, issues))
        return std::nullopt;
    service_template definition;
    if (const auto list = findKey(body, "parameters"))
        definition.parameters = readParameters(*list, issues);
    const auto service = requireKey(body, "service", issues);
    if (!service || !checkMapping(*service, serviceKeyNames(), issues))
        return std::nullopt;
    definition.service = *service;
    checkService(definition, issues);
    return definition;
}

/// Binds each parameter to the given argument or else to the template's default.
std::map<std::string_view, located_value> bindParameters(const located_value& use, std::string_view name,
    const service_template& definition, const std::optional<located_value>& with, issue_list& issues)
{
    std::map<std::string_view, located_value> bound;
    for (const auto& parameter : definition.parameters) {
        const auto given = with ? findKey(*with, parameter.name) : std::nullopt;
        if (given)
            bound[parameter.name] = *given;
        else if (parameter.defaultValue)
            bound[parameter.name] = *parameter.defaultValue;
        else
            addIssue(issues, with.value_or(use),
                fmt::format(
                    "the template '{}' needs '{}'; add {}: VALUE under 'with'", name, parameter.name, parameter.name));
    }
    return bound;
}

} // namespace

template_table readTemplates(const located_value& root, issue_list& issues)
{
    template_table table;
    std::vector<std::string_view> names;
    if (root.value->kind == yaml_kind::mapping) {
        for (const auto& entry : root.value->entries)
            names.push_back(entry.key);
    }
    if (!checkMapping(root, names, issues))
        return table;
    for (const auto& entry : root.value->entries) {
        if (auto definition = readTemplate({ &entry.value, root.documentName }, issues))
            table.try_emplace(entry.key, std::move(*definition));
    }
    return table;
}

std::optional<service_description> expandTemplate(
    const located_value& use, const template_table& templates, issue_list& issues)
{
    if (!checkMapping(use, useKeys, issues))
        return std::nullopt;
    const auto named = requireKey(use, "use", issues);
    const auto name = named ? readText(*named, issues) : std::nullopt;
    if (!name)
        return std::nullopt;
    const auto found = templates.find(*name);
    if (found == templates.end()) {
        std::vector<std::string_view> known;
        for (const auto& [known_name, definition] : templates)
            known.push_back(known_name);
        reportUnknownChoice(issues, *named, known);
        return std::nullopt;
    }
    const auto& definition = found->second;
    const auto with = findKey(use, "with");
    if (with && !checkMapping(*with, parameterNames(definition.parameters), issues))
        return std::nullopt;
    const auto bound = bindParameters(use, *name, definition, with, issues);
    service_description description { definition.service, {} };
    for (const auto& entry : definition.service.value->entries) {
        const auto parameter = parameterName(entry.value);
        const auto value = parameter ? bound.find(*parameter) : bound.end();
        if (value != bound.end())
            description.values[entry.key] = value->second;
        else
            description.values[entry.key]
                = parameter ? located_value {} : located_value { &entry.value, definition.service.documentName };
    }
    return description;
}

} // namespace acaciaslip::protocol
