#include "transport/logger.hpp"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace acaciaslip::transport {

namespace {

std::atomic<coordination::log_level> lowestLevel { coordination::log_level::info };

bool needsQuotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (const char letter : value) {
        const auto code = static_cast<unsigned char>(letter);
        if (code <= ' ' || code >= 0x7f || letter == '"' || letter == '=' || letter == '\\')
            return true;
    }
    return false;
}

void appendQuoted(std::string& line, std::string_view value)
{
    line += '"';
    for (const char letter : value) {
        const auto code = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\')
            line += fmt::format("\\{}", letter);
        else if (letter == '\n')
            line += "\\n";
        else if (code < ' ' || code >= 0x7f)
            line += fmt::format("\\x{:02x}", code);
        else
            line += letter;
    }
    line += '"';
}

} // namespace

void setLogLevel(coordination::log_level lowest) noexcept
{
    lowestLevel = lowest;
}

void writeLog(const coordination::log_event& event)
{
    if (event.level < lowestLevel)
        return;
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}Z level={} event={}",
        fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
        state::findName(coordination::logLevelNames, event.level), event.name);
    for (const auto& [key, value] : event.fields) {
        line += fmt::format(" {}=", key);
        if (needsQuotes(value))
            appendQuoted(line, value);
        else
            line += value;
    }
    line += '\n';
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace acaciaslip::transport
