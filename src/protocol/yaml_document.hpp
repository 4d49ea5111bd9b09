#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace acaciaslip::protocol {

/// Kind of a YAML value.
enum class yaml_kind { null, scalar, sequence, mapping };

struct yaml_entry;

/// A YAML value and its position in the document.
struct yaml_value {
    yaml_kind kind = yaml_kind::null;
    std::string text; ///< only for a scalar
    bool quoted = false; ///< a quoted scalar is always a string
    int line = 1;
    int column = 1;
    std::vector<yaml_value> items; ///< only for a sequence
    std::vector<yaml_entry> entries; ///< only for a mapping, in document order, including duplicate keys
};

/// A key of a mapping and its value.
struct yaml_entry {
    std::string key;
    int line = 1;
    int column = 1;
    yaml_value value;
};

/// A parsed document and its name in error messages.
struct yaml_document {
    std::string name;
    yaml_value root;
};

/// Maximum size of a document in bytes, which is the largest value that the platform stores.
inline constexpr std::size_t maxDocumentBytes = std::size_t { 1024 } * 1024;
/// Maximum nesting depth of values.
inline constexpr std::size_t maxDocumentDepth = 16;

/// Reads one YAML document.
/// \details Anchors and aliases are rejected, so that a short text cannot expand to a huge document.
/// \param name file name or key, for error messages
/// \return the document, or an error "name:line:column: problem; suggested fix"
[[nodiscard]] absl::StatusOr<yaml_document> readYaml(std::string_view text, const std::string& name);

} // namespace acaciaslip::protocol
