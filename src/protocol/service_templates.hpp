#pragma once

#include "protocol/service_schema.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciaslip::protocol {

/// A template parameter.
struct template_parameter {
    std::string name;
    std::optional<located_value> defaultValue; ///< default when the parameter is omitted
};

/// A service definition in which parameters replace some values.
struct service_template {
    std::vector<template_parameter> parameters;
    located_value service; ///< mapping of service keys; the value "$NAME" refers to a parameter
};

/// All templates by name.
using template_table = std::map<std::string, service_template, std::less<>>;

/// Reads and checks all templates, including unused ones.
/// \param root mapping of templates; the document it refers to must outlive the table
[[nodiscard]] template_table readTemplates(const located_value& root, issue_list& issues);

/// Substitutes a template's parameters.
/// \param use a team's entry {use: TEMPLATE, with: {PARAMETER: VALUE}}
/// \return the service, or nothing and issues if the template is unknown or a parameter is missing or unknown
[[nodiscard]] std::optional<service_description> expandTemplate(
    const located_value& use, const template_table& templates, issue_list& issues);

} // namespace acaciaslip::protocol
