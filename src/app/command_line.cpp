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

/// What a subcommand was given.
struct arguments {
    std::vector<std::string> operands;
    std::string settingsFile;
    bool json = false;
    bool help = false;
};

/// One subcommand.
struct command {
    std::string_view name;
    const char* synopsis; ///< operands and required options
    std::string_view summary;
    std::size_t fewest; ///< operands
    std::size_t most;
    bool takesSettings;
    bool takesJson;
    int (*run)(const arguments&);
};

constexpr std::size_t anyNumber = std::numeric_limits<std::size_t>::max();

constexpr std::array<command, 9> commands { {
    { "serve", "--settings FILE", "run this host's node until SIGTERM or a drain", 0, 0, true, false,
        [](const arguments& given) { return serve(given.settingsFile); } },
    { "gateway", "",
        "run this host's gateway on the platform until SIGTERM; its settings are where the platform puts them", 0, 0,
        false, false, [](const arguments& /*given*/) { return platform::runGateway(); } },
    { "check", "FILE…", "check node.yaml files, the platform's values, or folders of them", 1, anyNumber, false, false,
        [](const arguments& given) { return checkFiles(given.operands); } },
    { "check-platform", "FILE…", "check the platform's settings files (YAML) and configurations (*.json)", 1, anyNumber,
        false, false, [](const arguments& given) { return platform::checkPlatformFiles(given.operands); } },
    { "render", "FILE…", "print the services that the teams' templates expand to", 1, anyNumber, false, false,
        [](const arguments& given) { return renderFiles(given.operands); } },
    { "explain", "ID", "print one request's way from the gateways' logs on standard input", 1, 1, false, false,
        [](const arguments& given) { return explainRequest(given.operands.front(), std::cin, std::cout); } },
    { "dump", "ADDRESS [--json]", "print all that one node's decisions rest on", 1, 1, false, true,
        [](const arguments& given) { return dumpNode(given.operands.front(), given.json); } },
    { "status", "ADDRESS… [--json]", "print the state of the fleet as these nodes see it", 1, anyNumber, false, true,
        [](const arguments& given) { return showStatus(given.operands, given.json); } },
    { "drain", "ADDRESS", "start a node's planned stop", 1, 1, false, false,
        [](const arguments& given) { return drainNode(given.operands.front()); } },
} };

void printOverview(std::FILE* stream)
{
    fmt::print(stream, "usage: acaciaslip COMMAND …\n\n");
    for (const auto& known : commands)
        fmt::print(stream, "  {:<28} {}\n", fmt::format("{} {}", known.name, known.synopsis), known.summary);
    fmt::print(stream,
        "\n  --help     this text; COMMAND --help says more\n  --version  the version\n\n"
        "ADDRESS is a node's operators' address, IP:PORT.\n"
        "Exit codes: 0 done, 1 refused or failed, 2 wrong command line.\n");
}

/// Options of one subcommand, in popt's form.
class option_table {
public:
    explicit option_table(const command& wanted)
    {
        if (wanted.takesSettings)
            m_rows.push_back({ "settings", 's', POPT_ARG_STRING, static_cast<void*>(&m_settings), 0,
                "this host's settings", "FILE" });
        if (wanted.takesJson)
            m_rows.push_back({ "json", 'j', POPT_ARG_NONE, &m_json, 0, "write JSON for a program", nullptr });
        m_rows.push_back({ "help", '?', POPT_ARG_NONE, &m_help, 0, "show this text", nullptr });
        m_rows.push_back(POPT_TABLEEND);
    }
    option_table(const option_table&) = delete;
    option_table& operator=(const option_table&) = delete;
    ~option_table() { std::free(m_settings); } // NOLINT: popt allocates with malloc

    [[nodiscard]] const poptOption* rows() const { return m_rows.data(); }

    [[nodiscard]] arguments take(poptContext context) const
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

/// Says what is wrong with the arguments; empty when nothing is.
std::string findMistake(const command& wanted, const arguments& given)
{
    if (given.operands.size() < wanted.fewest)
        return fmt::format("'{}' needs {}", wanted.name, wanted.synopsis);
    if (given.operands.size() > wanted.most)
        return fmt::format("'{}' does not take '{}'", wanted.name, given.operands[wanted.most]);
    if (wanted.takesSettings && given.settingsFile.empty())
        return fmt::format("'{}' needs --settings FILE", wanted.name);
    return {};
}

int sayUsage(const command& wanted, const std::string& mistake)
{
    fmt::print(stderr, "acaciaslip: {}\nusage: acaciaslip {} {}\ntry: acaciaslip {} --help\n", mistake, wanted.name,
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
        return sayUsage(wanted, fmt::format("{}: {}", poptBadOption(context.get(), 0), poptStrerror(problem)));
    const auto given = options.take(context.get());
    if (given.help) {
        fmt::print("acaciaslip {} {}: {}\n\n", wanted.name, wanted.synopsis, wanted.summary);
        poptSetOtherOptionHelp(context.get(), wanted.synopsis);
        poptPrintHelp(context.get(), stdout, 0);
        return exitDone;
    }
    const auto mistake = findMistake(wanted, given);
    return mistake.empty() ? wanted.run(given) : sayUsage(wanted, mistake);
}

} // namespace

int runCommandLine(int argc, char** argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h" || name == "-?" || name == "help") {
        printOverview(stdout);
        return exitDone;
    }
    if (name == "--version") {
        fmt::print("acaciaslip {}\n", ACACIASLIP_VERSION);
        return exitDone;
    }
    for (const auto& known : commands) {
        if (known.name == name)
            return runCommand(known, argc - 1, argv + 1);
    }
    if (name.empty())
        fmt::print(stderr, "acaciaslip: a command is missing\n");
    else
        fmt::print(stderr, "acaciaslip: unknown command '{}'\n", name);
    printOverview(stderr);
    return exitUsage;
}

} // namespace acaciaslip::app
