#include "transport/log_line.hpp"

#include <chrono>
#include <string>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace acaciaslip::transport {

namespace {

constexpr int millisecondsPerSecond = 1000;

bool needsQuotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (const char character : value) {
        const auto code = static_cast<unsigned char>(character);
        if (code <= ' ' || code >= 0x7f || character == '"' || character == '=' || character == '\\')
            return true;
    }
    return false;
}

void appendQuoted(std::string& line, std::string_view value)
{
    line += '"';
    for (const char character : value) {
        const auto code = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\')
            line += fmt::format("\\{}", character);
        else if (character == '\n')
            line += "\\n";
        else if (code < ' ' || code >= 0x7f)
            line += fmt::format("\\x{:02x}", code);
        else
            line += character;
    }
    line += '"';
}

} // namespace

std::string formatLogLine(const coordination::log_event& event, std::chrono::system_clock::time_point now)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}",
        fmt::gmtime(std::chrono::system_clock::to_time_t(now)), milliseconds % millisecondsPerSecond,
        state::findName(coordination::logLevelNames, event.level), event.name);
    for (const auto& [key, value] : event.fields) {
        line += fmt::format(" {}=", key);
        if (needsQuotes(value))
            appendQuoted(line, value);
        else
            line += value;
    }
    return line;
}

} // namespace acaciaslip::transport
