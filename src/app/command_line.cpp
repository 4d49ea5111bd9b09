#include "app/command_line.hpp"

#include "app/serve.hpp"

#include <cstdio>
#include <string_view>

#include <fmt/format.h>
#include <popt.h>

namespace acaciaslip::app {

namespace {

constexpr int exitUsage = 2;

} // namespace

int runCommandLine(int argc, char** argv)
{
    char* settingsFile = nullptr;
    const poptOption options[] = {
        { "settings", 's', POPT_ARG_STRING, static_cast<void*>(&settingsFile), 0, "this host's settings", "FILE" },
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("acaciaslip", argc, const_cast<const char**>(argv), options, 0);
    poptSetOtherOptionHelp(context, "serve --settings FILE");
    const int problem = poptGetNextOpt(context);
    const char* command = poptGetArg(context);
    int code = exitUsage;
    if (problem < -1)
        fmt::print(stderr, "acaciaslip: {}: {}\n", poptBadOption(context, 0), poptStrerror(problem));
    else if (command != nullptr && std::string_view(command) == "serve" && settingsFile != nullptr)
        code = serve(settingsFile);
    else
        poptPrintUsage(context, stderr, 0);
    poptFreeContext(context);
    return code;
}

} // namespace acaciaslip::app
