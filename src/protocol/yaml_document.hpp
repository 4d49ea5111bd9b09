#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace acaciaslip::protocol {

/// What a YAML value is.
enum class yaml_kind { null, scalar, sequence, mapping };

struct yaml_entry;

/// One YAML value and where it stands in its text.
struct yaml_value {
    yaml_kind kind = yaml_kind::null;
    std::string text; ///< of a scalar
    bool quoted = false; ///< a quoted scalar is text, whatever it looks like
    int line = 1;
    int column = 1;
    std::vector<yaml_value> items; ///< of a sequence
    std::vector<yaml_entry> entries; ///< of a mapping, in the order of the text, double keys included
};

/// One key of a mapping and its value.
struct yaml_entry {
    std::string key;
    int line = 1;
    int column = 1;
    yaml_value value;
};

/// A text that was read, and what errors call it.
struct yaml_document {
    std::string name;
    yaml_value root;
};

/// The longest text that is read, in bytes: what the platform holds at most.
inline constexpr std::size_t maxDocumentBytes = std::size_t { 1024 } * 1024;
/// How deep values may be nested.
inline constexpr std::size_t maxDocumentDepth = 16;

/// Reads one YAML document.
/// \details Anchors and aliases are refused, so that a short text can't stand for a huge one.
/// \param name what errors call the text: a file or a key
/// \return the document, or an error "name:line:column: what is wrong; what to do"
[[nodiscard]] absl::StatusOr<yaml_document> readYaml(std::string_view text, const std::string& name);

} // namespace acaciaslip::protocol
