#include "app/command_line.hpp"

#include "app/exit_codes.hpp"
#include "app/explain.hpp"
#include "app/node_commands.hpp"
#include "app/serve.hpp"
#include "app/settings_commands.hpp"
#include "platform/check.hpp"
#include "platform/gateway.hpp"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>
#include <popt.h>

namespace acaciaslip::app {

namespace {

/// Parsed arguments of a subcommand.
struct arguments {
    std::vector<std::string> operands;
    std::string settingsFile;
    bool json = false;
    bool help = false;
};

/// Description of a subcommand.
struct command {
    std::string_view name;
    const char* synopsis; ///< operands and required options
    std::string_view summary;
    std::size_t minOperands; ///< smallest number of operands
    std::size_t maxOperands; ///< largest number of operands
    bool takesSettings;
    bool takesJson;
    int (*run)(const arguments&);
};

constexpr std::size_t unlimitedOperands = std::numeric_limits<std::size_t>::max();

constexpr std::array<command, 9> commands { {
    { "serve", "--settings FILE", "run this host's node until SIGTERM or a drain request", 0, 0, true, false,
        [](const arguments& given) { return serve(given.settingsFile); } },
    { "gateway", "",
        "run this host's gateway on the platform until SIGTERM, with the settings that the platform provides", 0, 0,
        false, false, [](const arguments& /*given*/) { return platform::runGateway(); } },
    { "check", "FILE…", "check node.yaml files, the platform's values, or folders that contain them", 1,
        unlimitedOperands, false, false, [](const arguments& given) { return checkFiles(given.operands); } },
    { "check-platform", "FILE…", "check the platform's settings files (YAML) and configurations (*.json)", 1,
        unlimitedOperands, false, false,
        [](const arguments& given) { return platform::checkPlatformFiles(given.operands); } },
    { "render", "FILE…", "print the teams' services with their templates expanded", 1, unlimitedOperands, false, false,
        [](const arguments& given) { return renderFiles(given.operands); } },
    { "explain", "ID", "trace one request through the gateways' logs, read from standard input", 1, 1, false, false,
        [](const arguments& given) { return explainRequest(given.operands.front(), std::cin, std::cout); } },
    { "dump", "ADDRESS [--json]", "print the state that one node's decisions are based on", 1, 1, false, true,
        [](const arguments& given) { return dumpNode(given.operands.front(), given.json); } },
    { "status", "ADDRESS… [--json]", "print the state of the fleet as these nodes see it", 1, unlimitedOperands, false,
        true, [](const arguments& given) { return showStatus(given.operands, given.json); } },
    { "drain", "ADDRESS", "start the graceful shutdown of a node", 1, 1, false, false,
        [](const arguments& given) { return drainNode(given.operands.front()); } },
} };

void printOverview(std::FILE* stream)
{
    fmt::print(stream, "usage: acaciaslip COMMAND …\n\n");
    for (const auto& known : commands)
        fmt::print(stream, "  {:<28} {}\n", fmt::format("{} {}", known.name, known.synopsis), known.summary);
    fmt::print(stream,
        "\n  --help     show this text; COMMAND --help shows a command's options\n  --version  show the version\n\n"
        "ADDRESS is the operator address of a node, IP:PORT.\n"
        "Exit codes: 0 success, 1 refused or failed, 2 invalid command line.\n");
}

/// Options of one subcommand as a table for popt.
class option_table {
public:
    explicit option_table(const command& wanted)
    {
        if (wanted.takesSettings)
            m_rows.push_back({ "settings", 's', POPT_ARG_STRING, static_cast<void*>(&m_settings), 0,
                "settings file of this host", "FILE" });
        if (wanted.takesJson)
            m_rows.push_back({ "json", 'j', POPT_ARG_NONE, &m_json, 0, "print JSON", nullptr });
        m_rows.push_back({ "help", '?', POPT_ARG_NONE, &m_help, 0, "show this text", nullptr });
        m_rows.push_back(POPT_TABLEEND);
    }
    option_table(const option_table&) = delete;
    option_table& operator=(const option_table&) = delete;
    ~option_table() { std::free(m_settings); } // NOLINT: popt allocates with malloc

    [[nodiscard]] const poptOption* rows() const { return m_rows.data(); }

    [[nodiscard]] arguments readArguments(poptContext context) const
    {
        arguments given { {}, m_settings != nullptr ? m_settings : "", m_json != 0, m_help != 0 };
        for (const char* operand = poptGetArg(context); operand != nullptr; operand = poptGetArg(context))
            given.operands.emplace_back(operand);
        return given;
    }

private:
    std::vector<poptOption> m_rows;
    char* m_settings = nullptr;
    int m_json = 0;
    int m_help = 0;
};

/// Returns an error message for invalid arguments, or an empty string when they are valid.
std::string findArgumentError(const command& wanted, const arguments& given)
{
    if (given.operands.size() < wanted.minOperands)
        return fmt::format("'{}' requires {}", wanted.name, wanted.synopsis);
    if (given.operands.size() > wanted.maxOperands)
        return fmt::format("'{}' does not accept the argument '{}'", wanted.name, given.operands[wanted.maxOperands]);
    if (wanted.takesSettings && given.settingsFile.empty())
        return fmt::format("'{}' requires --settings FILE", wanted.name);
    return {};
}

int printUsageError(const command& wanted, const std::string& error)
{
    fmt::print(stderr, "acaciaslip: {}\nusage: acaciaslip {} {}\ntry: acaciaslip {} --help\n", error, wanted.name,
        wanted.synopsis, wanted.name);
    return exitUsage;
}

int runCommand(const command& wanted, int argc, char** argv)
{
    const option_table options(wanted);
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("acaciaslip", argc, const_cast<const char**>(argv), options.rows(), 0), &poptFreeContext);
    const int problem = poptGetNextOpt(context.get());
    if (problem < -1)
        return printUsageError(wanted, fmt::format("{}: {}", poptBadOption(context.get(), 0), poptStrerror(problem)));
    const auto given = options.readArguments(context.get());
    if (given.help) {
        fmt::print("acaciaslip {} {}: {}\n\n", wanted.name, wanted.synopsis, wanted.summary);
        poptSetOtherOptionHelp(context.get(), wanted.synopsis);
        poptPrintHelp(context.get(), stdout, 0);
        return exitSuccess;
    }
    const auto error = findArgumentError(wanted, given);
    return error.empty() ? wanted.run(given) : printUsageError(wanted, error);
}

} // namespace

int runCommandLine(int argc, char** argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h" || name == "-?" || name == "help") {
        printOverview(stdout);
        return exitSuccess;
    }
    if (name == "--version") {
        fmt::print("acaciaslip {}\n", ACACIASLIP_VERSION);
        return exitSuccess;
    }
    for (const auto& known : commands) {
        if (known.name == name)
            return runCommand(known, argc - 1, argv + 1);
    }
    if (name.empty())
        fmt::print(stderr, "acaciaslip: missing command\n");
    else
        fmt::print(stderr, "acaciaslip: unknown command '{}'\n", name);
    printOverview(stderr);
    return exitUsage;
}

} // namespace acaciaslip::app
