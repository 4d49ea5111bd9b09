#include "platform/host_settings.hpp"

#include "platform/duration_parser.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace acaciaslip::platform {

namespace {

constexpr double bytesPerMegabyte = 1048576;
constexpr double maxMemoryMegabytes = 1048576; ///< 1 TiB; avoids an overflow

std::string formatPosition(const std::string& file, const YAML::Mark& mark)
{
    return mark.is_null() ? file : fmt::format("{}:{}:{}", file, mark.line + 1, mark.column + 1);
}

/// Reads fields and collects all errors.
class field_reader {
public:
    field_reader(const YAML::Node& root, std::string file)
        : m_root(root)
        , m_file(std::move(file))
    {
    }

    /// Finds the node at "table.field"; undefined if any part of the path is missing.
    [[nodiscard]] YAML::Node find(std::string_view path) const { return findIn(m_root, path); }

    std::string requiredText(std::string_view path)
    {
        const auto node = find(path);
        if (node.IsDefined() && node.IsScalar() && !node.Scalar().empty())
            return node.Scalar();
        addError(node, path, "is missing or not a string");
        return {};
    }

    [[nodiscard]] std::string optionalText(std::string_view path) const
    {
        const auto node = find(path);
        return node.IsDefined() && node.IsScalar() ? node.Scalar() : std::string {};
    }

    void parseUnsigned(std::string_view path, double& target)
    {
        const auto node = find(path);
        if (!node.IsDefined() || node.IsNull())
            return;
        if (!node.IsScalar() || !YAML::convert<double>::decode(node, target))
            addError(node, path, "is not a number");
    }

    void readDuration(std::string_view path, state::duration& target)
    {
        const auto node = find(path);
        if (!node.IsDefined() || node.IsNull())
            return;
        const auto duration = node.IsScalar() ? platform::parseDuration(node.Scalar()) : std::nullopt;
        if (duration)
            target = *duration;
        else
            addError(node, path, "is not a duration; write a number followed by ms or s");
    }

    void readFlag(std::string_view path, bool& target)
    {
        const auto node = find(path);
        if (!node.IsDefined() || node.IsNull())
            return;
        if (node.IsScalar() && (node.Scalar() == "true" || node.Scalar() == "false"))
            target = node.Scalar() == "true";
        else
            addError(node, path, "is neither true nor false");
    }

    [[nodiscard]] std::vector<std::string> readList(std::string_view path) const
    {
        std::vector<std::string> list;
        const auto node = find(path);
        if (node.IsDefined() && node.IsSequence()) {
            for (const auto& entry : node) {
                if (entry.IsScalar())
                    list.push_back(entry.Scalar());
            }
        }
        return list;
    }

    [[nodiscard]] const std::string& errors() const noexcept { return m_errors; }

private:
    static YAML::Node findIn(const YAML::Node& table, std::string_view path)
    {
        const auto dot = std::min(path.find('.'), path.size());
        const auto child
            = table.IsMap() ? table[std::string(path.substr(0, dot))] : YAML::Node(YAML::NodeType::Undefined);
        if (!child.IsDefined())
            return YAML::Node(YAML::NodeType::Undefined);
        return dot == path.size() ? child : findIn(child, path.substr(dot + 1));
    }

    void addError(const YAML::Node& node, std::string_view path, std::string_view problem)
    {
        const auto mark = node.IsDefined() ? node.Mark() : YAML::Mark::null_mark();
        m_errors
            += fmt::format("{}{}: {} {}", m_errors.empty() ? "" : "\n", formatPosition(m_file, mark), path, problem);
    }

    YAML::Node m_root;
    std::string m_file;
    std::string m_errors;
};

void readBounds(field_reader& fields, coordination::gateway::fleet_limits& bounds)
{
    fields.parseUnsigned("terms.bounds.retry-ratio", bounds.retryRatio);
    fields.readDuration("terms.bounds.retry-window", bounds.retryWindow);
    fields.parseUnsigned("terms.bounds.retry-slack", bounds.minRetries);
    fields.readDuration("terms.bounds.drain", bounds.drain);
    fields.readDuration("terms.bounds.grace", bounds.shutdownGrace);
    fields.readDuration("terms.bounds.config-apply", bounds.configApply);
    fields.readDuration("terms.bounds.stable-window", bounds.stableWindow);
    fields.readFlag("terms.bounds.strict-revoke", bounds.strictRevoke);
    fields.readDuration("terms.bounds.revoke", bounds.revoke);
    fields.readDuration("terms.bounds.quota-window", bounds.quotaWindow);
    fields.parseUnsigned("terms.bounds.quota-excess", bounds.quotaExcess);
    fields.parseUnsigned("terms.bounds.quota-slack", bounds.quotaSlack);
}

host_settings readFields(field_reader& fields)
{
    host_settings settings;
    settings.id = fields.requiredText("self.node-name");
    settings.ip = fields.requiredText("self.ip");
    settings.dataCentre = fields.requiredText("self.zone");
    settings.callerAddress = fields.requiredText("network.listen.front");
    settings.healthAddress = fields.requiredText("network.listen.ready");
    settings.operatorAddress = fields.optionalText("network.listen.control");
    settings.seedAddresses = fields.readList("network.seeds");
    // The store's table has the same name as its parent table.
    settings.storeAddress = fields.requiredText("platform.platform.address");
    const auto ports = fields.readList("network.internal-ports");
    settings.firstInternalPort = ports.empty() ? 0 : std::atoi(ports.front().c_str()); // NOLINT(cert-err34-c)
    double memory = 0; // MiB
    fields.parseUnsigned("self.limits.memory-mb", memory);
    if (memory > 0)
        settings.memoryBytes = static_cast<std::uint64_t>(std::min(memory, maxMemoryMegabytes) * bytesPerMegabyte);
    readBounds(fields, settings.limits);
    return settings;
}

} // namespace

absl::StatusOr<host_settings> readHostSettings(const std::string& text, const std::string& file)
{
    try {
        field_reader fields(YAML::Load(text), file);
        auto settings = readFields(fields);
        if (!fields.errors().empty())
            return absl::InvalidArgumentError(fields.errors());
        return settings;
    } catch (const YAML::Exception& error) {
        return absl::InvalidArgumentError(fmt::format("{}: {}", formatPosition(file, error.mark), error.msg));
    }
}

absl::StatusOr<host_settings> loadHostSettings(const std::string& file)
{
    std::ifstream stream(file);
    std::stringstream text;
    if (!stream || !(text << stream.rdbuf()))
        return absl::NotFoundError(fmt::format("{} cannot be read, or is empty; check {}", file, settingsVariable));
    return readHostSettings(text.str(), file);
}

} // namespace acaciaslip::platform
