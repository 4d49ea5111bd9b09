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

/// Events that say what a host believes; the newest of each is kept.
constexpr std::array<std::string_view, 8> beliefEvents { "started", "configuration", "evacuation", "store_lost",
    "store_regained", "store_duty", "phase", "settings_reloaded" };

/// What one host's log has said so far.
struct host_beliefs {
    std::map<std::string, std::string> newest; ///< by event
    std::map<std::string, std::string> servers; ///< by server
    bool told = false; ///< printed already
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

/// What stands before the line's time: whoever gathered the logs may have put the host's name there.
std::string hostOf(std::string_view line)
{
    const auto prefix = line.substr(0, line.find("time="));
    const auto end = prefix.find_last_not_of(' ');
    if (end == std::string_view::npos)
        return {};
    const auto start = prefix.find_last_of(' ', end);
    return std::string(prefix.substr(start == std::string_view::npos ? 0 : start + 1, end));
}

void learn(host_beliefs& beliefs, std::string_view event, const std::string& line)
{
    for (const auto known : beliefEvents) {
        if (event == known)
            beliefs.newest[std::string(event)] = line;
    }
    if (event == "server") {
        if (const auto server = findField(line, "server"))
            beliefs.servers[std::string(*server)] = line;
    }
}

void tell(host_beliefs& beliefs, std::ostream& out)
{
    if (beliefs.told)
        return;
    beliefs.told = true;
    out << "what the host believed:\n";
    for (const auto& [event, line] : beliefs.newest)
        out << "  " << line << '\n';
    out << "the request:\n";
}

} // namespace

int explainRequest(const std::string& id, std::istream& logs, std::ostream& out)
{
    std::map<std::string, host_beliefs> hosts;
    bool found = false;
    std::string line;
    while (std::getline(logs, line)) {
        const auto event = findField(line, "event");
        if (!event)
            continue;
        auto& beliefs = hosts[hostOf(line)];
        learn(beliefs, *event, line);
        if (findField(line, "id") != std::string_view(id) || *event == "started")
            continue;
        found = true;
        tell(beliefs, out);
        out << "  " << line << '\n';
        const auto server = findField(line, "server");
        const auto entry = server ? beliefs.servers.find(std::string(*server)) : beliefs.servers.end();
        if (entry != beliefs.servers.end())
            out << "      last news of that server: " << entry->second << '\n';
    }
    if (!found)
        out << "no line bears the id " << id << "; the host may have been cut off, or lines were dropped "
            << "(event=log_lines_dropped)\n";
    return found ? exitDone : exitSaidNo;
}

} // namespace acaciaslip::app
