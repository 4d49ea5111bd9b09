#include "app/explain.hpp"

#include "app/exit_codes.hpp"

#include <array>
#include <istream>
#include <map>
#include <optional>
#include <ostream>
#include <string_view>

namespace acaciaslip::app {

namespace {

/// Events that describe the state of a host; the newest line of each is kept.
constexpr std::array<std::string_view, 9> stateEvents { "started", "configuration", "evacuation", "store_lost",
    "store_regained", "store_duty", "phase", "settings_reloaded", "server_back_off" };

/// State of one host according to its log lines read so far.
struct host_state {
    std::map<std::string, std::string> newest; ///< newest line by event
    std::map<std::string, std::string> servers; ///< newest line by server
    std::map<std::string, std::string> digests; ///< newest line by digest of a lethal request
    bool isPrinted = false; ///< whether the state has been printed
};

std::optional<std::string_view> findField(std::string_view line, std::string_view key)
{
    const auto wanted = std::string(" ") + std::string(key) + "=";
    auto at = line.find(wanted);
    if (at == std::string_view::npos)
        return std::nullopt;
    at += wanted.size();
    return line.substr(at, line.find(' ', at) - at);
}

/// Returns the last word before the line's time. Tools that collect logs may put the host's name there.
std::string findHost(std::string_view line)
{
    const auto prefix = line.substr(0, line.find("time="));
    const auto end = prefix.find_last_not_of(' ');
    if (end == std::string_view::npos)
        return {};
    const auto start = prefix.find_last_of(' ', end);
    return std::string(prefix.substr(start == std::string_view::npos ? 0 : start + 1, end));
}

void recordEvent(host_state& hostState, std::string_view event, const std::string& line)
{
    for (const auto known : stateEvents) {
        if (event == known)
            hostState.newest[std::string(event)] = line;
    }
    if (event == "lethal_request") {
        if (const auto digest = findField(line, "digest"))
            hostState.digests[std::string(*digest)] = line;
    }
    if (event == "server") {
        if (const auto server = findField(line, "server"))
            hostState.servers[std::string(*server)] = line;
    }
}

void printHostState(host_state& hostState, std::ostream& out)
{
    if (hostState.isPrinted)
        return;
    hostState.isPrinted = true;
    out << "what the host believed:\n";
    for (const auto& [event, line] : hostState.newest)
        out << "  " << line << '\n';
    out << "the request:\n";
}

} // namespace

int explainRequest(const std::string& id, std::istream& logs, std::ostream& out)
{
    std::map<std::string, host_state> hosts;
    bool found = false;
    std::string line;
    while (std::getline(logs, line)) {
        const auto event = findField(line, "event");
        if (!event)
            continue;
        auto& hostState = hosts[findHost(line)];
        recordEvent(hostState, *event, line);
        if (findField(line, "id") != std::string_view(id) || *event == "started")
            continue;
        found = true;
        printHostState(hostState, out);
        out << "  " << line << '\n';
        const auto digest = findField(line, "digest");
        const auto lethal = digest ? hostState.digests.find(std::string(*digest)) : hostState.digests.end();
        if (lethal != hostState.digests.end())
            out << "      why such requests are refused: " << lethal->second << '\n';
        const auto server = findField(line, "server");
        const auto entry = server ? hostState.servers.find(std::string(*server)) : hostState.servers.end();
        if (entry != hostState.servers.end())
            out << "      last news of that server: " << entry->second << '\n';
    }
    if (!found)
        out << "no log line has the id " << id << "; the host may have been disconnected, or lines were dropped "
            << "(event=log_lines_dropped)\n";
    return found ? exitSuccess : exitFailed;
}

} // namespace acaciaslip::app
