#include "protocol/service_templates.hpp"

#include <algorithm>
#include <array>

#include <fmt/ranges.h>

namespace acaciaslip::protocol {

namespace {

constexpr std::array<std::string_view, 2> templateKeys { "parameters", "service" };
constexpr std::array<std::string_view, 2> useKeys { "use", "with" };

/// The parameter that a value stands for; nothing for a plain value.
std::optional<std::string_view> parameterOf(const yaml_value& value)
{
    if (value.kind != yaml_kind::scalar || value.quoted || !value.text.starts_with('$'))
        return std::nullopt;
    return std::string_view(value.text).substr(1);
}

std::vector<std::string_view> namesOf(const std::vector<template_parameter>& parameters)
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
        return template_parameter { entry.key, located_value { &entry.value, item.name } };
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
        const located_value where { &item, list.name };
        auto parameter = readParameter(where, issues);
        if (!parameter)
            continue;
        const auto names = namesOf(parameters);
        if (std::find(names.begin(), names.end(), parameter->name) != names.end())
            report(issues, where, fmt::format("the parameter '{}' stands twice; keep one", parameter->name));
        else
            parameters.push_back(std::move(*parameter));
    }
    return parameters;
}

/// Checks that every "$NAME" is a parameter, and every plain value is right.
void checkService(const service_template& made, issue_list& issues)
{
    service_description description { made.service, {} };
    const auto names = namesOf(made.parameters);
    for (const auto& entry : made.service.value->entries) {
        const located_value value { &entry.value, made.service.name };
        const auto parameter = parameterOf(entry.value);
        if (parameter && std::find(names.begin(), names.end(), *parameter) == names.end())
            report(issues, value,
                fmt::format("'${}' is no parameter{}; add it to 'parameters' or write a value", *parameter,
                    suggest(*parameter, names)));
        description.values[entry.key] = parameter ? located_value {} : value;
    }
    (void)readServiceSettings("", description, issues);
}

std::optional<service_template> readTemplate(const located_value& body, issue_list& issues)
{
    if (!checkMapping(body, templateKeys, issues))
        return std::nullopt;
    service_template made;
    if (const auto list = find(body, "parameters"))
        made.parameters = readParameters(*list, issues);
    const auto service = require(body, "service", issues);
    if (!service || !checkMapping(*service, serviceKeyNames(), issues))
        return std::nullopt;
    made.service = *service;
    checkService(made, issues);
    return made;
}

/// A value for each parameter: the use's, else the template's default.
std::map<std::string_view, located_value> bindParameters(const located_value& use, std::string_view name,
    const service_template& made, const std::optional<located_value>& with, issue_list& issues)
{
    std::map<std::string_view, located_value> bound;
    for (const auto& parameter : made.parameters) {
        const auto given = with ? find(*with, parameter.name) : std::nullopt;
        if (given)
            bound[parameter.name] = *given;
        else if (parameter.fallback)
            bound[parameter.name] = *parameter.fallback;
        else
            report(issues, with.value_or(use),
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
        if (auto made = readTemplate({ &entry.value, root.name }, issues))
            table.try_emplace(entry.key, std::move(*made));
    }
    return table;
}

std::optional<service_description> expandTemplate(
    const located_value& use, const template_table& templates, issue_list& issues)
{
    if (!checkMapping(use, useKeys, issues))
        return std::nullopt;
    const auto named = require(use, "use", issues);
    const auto name = named ? readText(*named, issues) : std::nullopt;
    if (!name)
        return std::nullopt;
    const auto found = templates.find(*name);
    if (found == templates.end()) {
        std::vector<std::string_view> known;
        for (const auto& [known_name, made] : templates)
            known.push_back(known_name);
        reportChoice(issues, *named, known);
        return std::nullopt;
    }
    const auto& made = found->second;
    const auto with = find(use, "with");
    if (with && !checkMapping(*with, namesOf(made.parameters), issues))
        return std::nullopt;
    const auto bound = bindParameters(use, *name, made, with, issues);
    service_description description { made.service, {} };
    for (const auto& entry : made.service.value->entries) {
        const auto parameter = parameterOf(entry.value);
        const auto value = parameter ? bound.find(*parameter) : bound.end();
        if (value != bound.end())
            description.values[entry.key] = value->second;
        else
            description.values[entry.key]
                = parameter ? located_value {} : located_value { &entry.value, made.service.name };
    }
    return description;
}

} // namespace acaciaslip::protocol
