#pragma once

#include "protocol/service_schema.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciaslip::protocol {

/// A parameter of a template.
struct template_parameter {
    std::string name;
    std::optional<located_value> fallback; ///< taken when a use leaves the parameter out
};

/// A service with parameters in place of some values.
struct service_template {
    std::vector<template_parameter> parameters;
    located_value service; ///< a mapping of service keys; a value "$NAME" stands for a parameter
};

/// All templates by name.
using template_table = std::map<std::string, service_template, std::less<>>;

/// Reads and checks the templates, also those that nobody uses.
/// \param root the mapping of templates; what it refers to must outlive the table
[[nodiscard]] template_table readTemplates(const located_value& root, issue_list& issues);

/// Fills in a template's parameters.
/// \param use a team's {use: TEMPLATE, with: {PARAMETER: VALUE}}
/// \return nothing, and issues, when the template is unknown or a parameter is missing or unknown
[[nodiscard]] std::optional<service_description> expandTemplate(
    const located_value& use, const template_table& templates, issue_list& issues);

} // namespace acaciaslip::protocol
