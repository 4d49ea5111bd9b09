#include "protocol/yaml_document.hpp"

#include <sstream>

#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

namespace acaciaslip::protocol {

namespace {

/// Builds the tree of values from parser events.
class tree_builder : public YAML::EventHandler {
public:
    void OnDocumentStart(const YAML::Mark& /*mark*/) override { }
    void OnDocumentEnd() override { }

    void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override
    {
        rejectAnchor(mark, anchor);
        add(makeValue(yaml_kind::null, mark), mark);
    }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override
    {
        throw YAML::ParserException(mark, "aliases are not supported; repeat the value or use a template parameter");
    }

    void OnScalar(
        const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, const std::string& text) override
    {
        rejectAnchor(mark, anchor);
        rejectTag(mark, tag);
        auto value = makeValue(yaml_kind::scalar, mark);
        value.text = text;
        value.quoted = tag == "!";
        add(std::move(value), mark);
    }

    void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
        YAML::EmitterStyle::value /*style*/) override
    {
        open(yaml_kind::sequence, mark, tag, anchor);
    }

    void OnSequenceEnd() override { close(); }

    void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
        YAML::EmitterStyle::value /*style*/) override
    {
        open(yaml_kind::mapping, mark, tag, anchor);
    }

    void OnMapEnd() override { close(); }

    [[nodiscard]] yaml_value takeRoot() { return std::move(m_root); }

private:
    /// A sequence or mapping whose end event has not been received.
    struct open_value {
        yaml_value value;
        bool keyRead = false; ///< the last entry's key has been read, but not its value
    };

    static yaml_value makeValue(yaml_kind kind, const YAML::Mark& mark)
    {
        yaml_value value;
        value.kind = kind;
        value.line = mark.line + 1;
        value.column = mark.column + 1;
        return value;
    }

    static void rejectAnchor(const YAML::Mark& mark, YAML::anchor_t anchor)
    {
        if (anchor != YAML::NullAnchor)
            throw YAML::ParserException(mark, "anchors are not supported; repeat the value where it is needed");
    }

    static void rejectTag(const YAML::Mark& mark, const std::string& tag)
    {
        if (!tag.empty() && tag != "?" && tag != "!")
            throw YAML::ParserException(mark, fmt::format("the tag '{}' is not supported; remove it", tag));
    }

    void open(yaml_kind kind, const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor)
    {
        rejectAnchor(mark, anchor);
        rejectTag(mark, tag);
        if (m_open.size() >= maxDocumentDepth)
            throw YAML::ParserException(
                mark, fmt::format("nested deeper than {} levels; reduce the nesting", maxDocumentDepth));
        if (!m_open.empty() && m_open.back().value.kind == yaml_kind::mapping && !m_open.back().keyRead)
            throw YAML::ParserException(mark, "a key must be plain text; write KEY: VALUE");
        m_open.push_back({ makeValue(kind, mark) });
    }

    void close()
    {
        auto value = std::move(m_open.back().value);
        m_open.pop_back();
        add(std::move(value), YAML::Mark::null_mark());
    }

    void add(yaml_value value, const YAML::Mark& mark)
    {
        if (m_open.empty()) {
            m_root = std::move(value);
            return;
        }
        auto& [parent, keyRead] = m_open.back();
        if (parent.kind == yaml_kind::sequence) {
            parent.items.push_back(std::move(value));
        } else if (keyRead) {
            parent.entries.back().value = std::move(value);
            keyRead = false;
        } else {
            if (value.kind == yaml_kind::null)
                throw YAML::ParserException(mark, "a key must be plain text; write KEY: VALUE");
            parent.entries.push_back({ std::move(value.text), value.line, value.column, {} });
            keyRead = true;
        }
    }

    std::vector<open_value> m_open;
    yaml_value m_root;
};

absl::Status makeErrorAt(const std::string& name, const YAML::Mark& mark, const std::string& what)
{
    return absl::InvalidArgumentError(fmt::format("{}:{}:{}: {}", name, mark.line + 1, mark.column + 1, what));
}

} // namespace

absl::StatusOr<yaml_document> readYaml(std::string_view text, const std::string& name)
{
    if (text.size() > maxDocumentBytes)
        return absl::InvalidArgumentError(fmt::format(
            "{}:1:1: {} bytes exceed the limit of {}; split the text", name, text.size(), maxDocumentBytes));
    try {
        std::istringstream stream { std::string(text) };
        YAML::Parser parser(stream);
        tree_builder builder;
        parser.HandleNextDocument(builder);
        yaml_document document { name, builder.takeRoot() };
        tree_builder extraBuilder;
        if (parser.HandleNextDocument(extraBuilder))
            return absl::InvalidArgumentError(
                fmt::format("{}:1:1: more than one document; use a separate value for each", document.name));
        return document;
    } catch (const YAML::Exception& error) {
        return makeErrorAt(name, error.mark, error.msg);
    }
}

} // namespace acaciaslip::protocol
