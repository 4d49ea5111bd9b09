#pragma once

#include <cstdio>
#include <string>

#include <fmt/format.h>
#include <popt.h>

namespace acaciaslip::standins {

/// Parses a subcommand's options into the variables that the table points to.
/// Prints an unknown or malformed option to standard error.
/// \return whether all arguments were valid
[[nodiscard]] inline bool readOptions(int argc, const char** argv, const poptOption* options)
{
    poptContext context = poptGetContext(argv[0], argc, argv, options, 0);
    const int problem = poptGetNextOpt(context);
    if (problem < -1)
        fmt::print(stderr, "{}: {}\n", poptBadOption(context, 0), poptStrerror(problem));
    const bool valid = problem == -1 && poptPeekArg(context) == nullptr;
    poptFreeContext(context);
    return valid;
}

/// Splits "ip:port".
/// \param ip receives the address; unchanged when there is no port
/// \return the port, 0 when there is none
[[nodiscard]] inline int splitAddress(const std::string& text, std::string& ip)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return 0;
    ip = text.substr(0, colon);
    return std::atoi(text.c_str() + colon + 1);
}

} // namespace acaciaslip::standins
