#include "app/node_commands.hpp"

#include "app/dump_table.hpp"
#include "app/exit_codes.hpp"
#include "app/operator_client.hpp"
#include "app/status_table.hpp"

#include <algorithm>
#include <cstdio>

#include <fmt/format.h>

namespace acaciaslip::app {

namespace {

constexpr int indent = 2;

int printFailure(const absl::Status& status)
{
    fmt::print(stderr, "acaciaslip: {}\n", std::string(status.message()));
    return exitFailed;
}

} // namespace

int dumpNode(const std::string& address, bool json)
{
    const auto dump = fetchDump(address);
    if (!dump.ok())
        return printFailure(dump.status());
    fmt::print("{}", json ? dump->dump(indent) + '\n' : formatDump(*dump));
    return exitSuccess;
}

int showStatus(const std::vector<std::string>& addresses, bool json)
{
    const auto answers = fetchDumps(addresses);
    fmt::print("{}", json ? describeStatus(answers).dump(indent) + '\n' : formatStatus(answers));
    const bool allAnswered
        = std::all_of(answers.begin(), answers.end(), [](const auto& answer) { return answer.dump.ok(); });
    return allAnswered ? exitSuccess : exitFailed;
}

int drainNode(const std::string& address)
{
    if (const auto status = requestDrain(address); !status.ok())
        return printFailure(status);
    fmt::print("{} is shutting down; it exits when its requests in progress have finished\n", address);
    return exitSuccess;
}

} // namespace acaciaslip::app
