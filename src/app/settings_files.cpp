#include "app/settings_files.hpp"

#include "protocol/published_values.hpp"
#include "protocol/settings_schema.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

#include <fmt/format.h>

namespace acaciaslip::app {

namespace {

namespace fs = std::filesystem;

constexpr std::string_view valuesFolder = "acaciaslip";

/// Returns a file's path without its extension, starting at the last folder named "acaciaslip".
std::optional<state::value_key> findKeyByPath(const fs::path& path)
{
    std::vector<std::string> parts;
    for (const auto& part : fs::absolute(path).lexically_normal())
        parts.push_back(part.string());
    const auto last = parts.empty() ? parts.rend() : std::find(parts.rbegin() + 1, parts.rend(), valuesFolder);
    if (last == parts.rend())
        return std::nullopt;
    fs::path key;
    for (auto part = last.base() - 1; part != parts.end(); ++part)
        key /= *part;
    auto text = key.replace_extension().string();
    if (!protocol::findValueKind(text))
        return std::nullopt;
    return text;
}

bool hasKey(const protocol::yaml_value& mapping, std::string_view key)
{
    return std::any_of(
        mapping.entries.begin(), mapping.entries.end(), [&](const auto& entry) { return entry.key == key; });
}

/// Determines the key of a value from its content; empty for a node.yaml, nullopt when the content is unknown.
std::optional<state::value_key> findKeyByContent(const protocol::yaml_value& root)
{
    using protocol::yaml_kind;
    if (root.kind == yaml_kind::sequence)
        return std::string(protocol::hostsKey);
    if (root.kind != yaml_kind::mapping)
        return std::nullopt;
    if (hasKey(root, "callers") || hasKey(root, "operators") || hasKey(root, "platform"))
        return "";
    if (hasKey(root, "services")) {
        const protocol::located_value where { &root, nullptr };
        const auto team = protocol::findKey(where, "team");
        return std::string(protocol::teamKeyPrefix) + (team ? team->value->text : std::string("unnamed"));
    }
    if (hasKey(root, "values"))
        return std::string(protocol::indexKey);
    if (hasKey(root, "out"))
        return std::string(protocol::dataCentresKey);
    const bool templates = std::any_of(
        root.entries.begin(), root.entries.end(), [](const auto& entry) { return hasKey(entry.value, "service"); });
    if (templates)
        return std::string(protocol::templatesKey);
    return std::nullopt;
}

/// Loads files one after another and collects all errors.
struct loader {
    settings_files files;
    std::string errors;

    void addError(const std::string& what) { errors += (errors.empty() ? "" : "\n") + what; }

    void load(const fs::path& path)
    {
        std::error_code ignored;
        if (fs::is_directory(path, ignored))
            return loadFolder(path);
        std::ifstream stream(path);
        std::stringstream text;
        if (!stream || !(text << stream.rdbuf()))
            return addError(fmt::format("{}: cannot be read, or is empty; check the path", path.string()));
        addFile({ path.string(), text.str() });
    }

    void loadFolder(const fs::path& folder)
    {
        std::vector<fs::path> found;
        std::error_code problem;
        for (fs::recursive_directory_iterator entry(folder, problem), end; !problem && entry != end;
             entry.increment(problem)) {
            if (entry->path().extension() == ".yaml")
                found.push_back(entry->path());
        }
        if (problem)
            addError(fmt::format("{}: {}; check the folder", folder.string(), problem.message()));
        else if (found.empty())
            addError(fmt::format("{}: contains no .yaml file; specify another folder", folder.string()));
        std::sort(found.begin(), found.end());
        for (const auto& path : found)
            load(path);
    }

    void addFile(settings_file file)
    {
        auto key = findKeyByPath(file.path);
        if (!key) {
            const auto document = protocol::readYaml(file.text, file.path);
            if (!document.ok())
                return addError(std::string(document.status().message()));
            key = findKeyByContent(document->root);
        }
        if (!key)
            return addError(
                fmt::format("{}:1:1: neither a node.yaml nor a value of the platform; check its keys, or move it "
                            "below a folder named '{}'",
                    file.path, valuesFolder));
        if (key->empty())
            return files.nodes.push_back(std::move(file));
        const auto [taken, added] = files.values.try_emplace(*key, file);
        if (!added && taken->second.path != file.path)
            addError(fmt::format("{}: contains '{}', which {} contains too; specify only one of them", file.path, *key,
                taken->second.path));
    }

    /// Loads the templates.yaml next to the folder of a team's file.
    void addTemplates()
    {
        const state::value_key key(protocol::templatesKey);
        if (files.values.contains(key))
            return;
        for (const auto& [teamKey, file] : files.values) {
            const auto templatesPath = fs::path(file.path).parent_path().parent_path() / "templates.yaml";
            std::error_code ignored;
            if (!teamKey.starts_with(protocol::teamKeyPrefix) || !fs::exists(templatesPath, ignored))
                continue;
            files.notes.push_back(fmt::format("also using the templates in {}", templatesPath.string()));
            return load(templatesPath);
        }
    }
};

} // namespace

absl::StatusOr<settings_files> loadSettingsFiles(const std::vector<std::string>& paths)
{
    loader loading;
    for (const auto& path : paths)
        loading.load(path);
    loading.addTemplates();
    if (!loading.errors.empty())
        return absl::InvalidArgumentError(loading.errors);
    return std::move(loading.files);
}

} // namespace acaciaslip::app
