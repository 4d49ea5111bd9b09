#include "standins/commands.hpp"

#include <cstdio>
#include <string_view>

#include <fmt/format.h>

int main(int argc, char** argv)
{
    constexpr int exitUsage = 2;
    const std::string_view command = argc > 1 ? argv[1] : "";
    const auto arguments = const_cast<const char**>(argv + 1);
    if (command == "server")
        return acaciaslip::standins::runServer(argc - 1, arguments);
    if (command == "platform")
        return acaciaslip::standins::runPlatform(argc - 1, arguments);
    if (command == "load")
        return acaciaslip::standins::runLoad(argc - 1, arguments);
    if (command == "compare")
        return acaciaslip::standins::runCompare(argc - 1, arguments);
    fmt::print(stderr, "usage: acaciaslip_standins server|platform|load|compare [--help]\n");
    return exitUsage;
}
