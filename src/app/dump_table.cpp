#include "app/dump_table.hpp"

#include "app/dump_reading.hpp"
#include "app/text_table.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace acaciaslip::app {

namespace {

using nlohmann::json;

std::string formatMemberAge(const json& object, std::string_view key)
{
    return formatDuration(parseUnsigned(object, key));
}

std::string formatMemberDecimal(const json& object, std::string_view key)
{
    const auto number = parseUnsigned(object, key);
    return number ? fmt::format("{:.2f}", *number) : "-";
}

std::string writeHead(const json& dump)
{
    std::string text = fmt::format("{} in {}: {} for {}\n", readText(dump, "id"), readText(dump, "data_centre"),
        readText(dump, "phase"), formatMemberAge(dump, "phase_age_ms"));
    text += fmt::format("  requests in progress {}, attempts {}; peers heard {} of {}; entry hosts listed {}\n",
        readCount(dump, "requests_in_progress"), readCount(dump, "attempts_in_progress"), countRecentPeers(dump),
        readObject(dump, "peers").size(), readCount(dump, "entry_hosts_listed"));
    const auto problems = findProblems(dump);
    if (!problems.empty())
        text += "\nATTENTION\n";
    for (const auto& problem : problems)
        text += fmt::format("  {}\n", problem);
    return text;
}

using named_servers = std::vector<std::pair<std::string, const json*>>;

/// Returns the servers; those whose use is restricted come first.
named_servers sortServers(const json& dump)
{
    named_servers sorted;
    for (const auto& [id, server] : readObject(dump, "servers").items())
        sorted.emplace_back(id, &server);
    std::stable_sort(sorted.begin(), sorted.end(), [](const auto& left, const auto& right) {
        return !findRestriction(*left.second).empty() && findRestriction(*right.second).empty();
    });
    return sorted;
}

std::string writeServers(const named_servers& servers)
{
    text_table table({ "server", "service", "data centre", "new work", "condition", "why", "for", "own", "peers",
        "permits", "limit", "slots", "latency", "oldest", "answered" });
    for (const auto& [id, found] : servers) {
        const auto& server = *found;
        const auto restriction = findRestriction(server);
        table.add({ id, readText(server, "team") + '/' + readText(server, "service"), readText(server, "data_centre"),
            readFlag(server, "takes_new_work") ? (restriction.empty() ? "yes" : restriction) : "no: " + restriction,
            readText(server, "condition"), readText(server, "reason"), formatMemberAge(server, "condition_age_ms"),
            readCount(server, "in_flight"), readCount(server, "peers_in_flight"), readCount(server, "cold_allowance"),
            readCount(server, "limit"), readCount(server, "slots"), formatMemberAge(server, "latency_ms"),
            formatMemberAge(server, "oldest_unanswered_ms"), formatMemberAge(server, "last_answer_age_ms") });
    }
    return table.empty() ? "  none\n" : table.format();
}

std::string writeProbing(const named_servers& servers)
{
    text_table table({ "server", "probes spent", "allowed", "allowed a second", "report", "says draining", "says cold",
        "in flight", "queued", "bad answers", "shed", "ejected for", "boot" });
    for (const auto& [id, found] : servers) {
        const auto& server = *found;
        const auto& report = readObject(server, "report");
        table.add({ id, readCount(server, "probes_spent"), readCount(server, "probes_allowed"),
            formatMemberDecimal(server, "probes_allowed_per_second"), formatMemberAge(report, "age_ms"),
            readFlag(report, "says_draining") ? "yes" : "no", readFlag(report, "cold") ? "yes" : "no",
            readCount(report, "in_flight"), readCount(report, "queued"), readCount(server, "bad_answers"),
            readCount(server, "shed_answers"), formatMemberAge(server, "ejected_for_ms"), readText(server, "boot") });
    }
    return table.empty() ? "  none\n" : table.format();
}

std::string writeServices(const json& dump)
{
    text_table table({ "service", "route", "servers", "waiting", "of", "retry tokens", "hedge tokens", "idempotent",
        "timeout", "hedge" });
    for (const auto& [name, service] : readObject(dump, "services").items()) {
        const bool active = readFlag(service, "active");
        table.add({ name, active ? readText(service, "host") + readText(service, "path_prefix") : "gone",
            readCount(service, "servers"), readCount(service, "waiting"), readCount(service, "max_waiting"),
            formatMemberDecimal(service, "retry_tokens"), formatMemberDecimal(service, "hedge_tokens"),
            readText(service, "idempotent"), formatMemberAge(service, "timeout_ms"),
            readFlag(service, "hedge") ? "on" : "off" });
    }
    return table.empty() ? "  none\n" : table.format();
}

std::string writeValues(const json& dump)
{
    text_table table({ "value", "revision", "source", "age", "bytes", "refused" });
    for (const auto& [key, value] : readObject(dump, "values").items())
        table.add({ key, readCount(value, "revision"), readText(value, "source"), formatMemberAge(value, "age_ms"),
            readCount(value, "bytes"), readCount(readObject(value, "refused"), "revision") });
    return table.empty() ? "  none\n" : table.format();
}

std::string writePeers(const json& dump)
{
    text_table table({ "peer", "address", "data centre", "heard", "leaving", "listed", "incarnation" });
    for (const auto& [id, peer] : readObject(dump, "peers").items())
        table.add({ id, readText(peer, "address"), readText(peer, "data_centre"), formatMemberAge(peer, "heard_age_ms"),
            readFlag(peer, "leaving") ? "yes" : "no", readFlag(peer, "listed") ? "yes" : "no",
            readCount(peer, "incarnation") });
    return table.empty() ? "  none\n" : table.format();
}

std::string writeCounters(const json& dump)
{
    text_table table({ "counted since the start", "" });
    for (const auto& [name, counter] : readObject(dump, "counters").items()) {
        if (counter.is_number())
            table.add({ name, counter.dump() });
        else if (counter.is_object())
            for (const auto& [kind, count] : counter.items())
                table.add({ fmt::format("{} {}", name, kind), count.dump() });
    }
    return table.format();
}

} // namespace

std::string formatDump(const json& dump)
{
    const auto servers = sortServers(dump);
    return writeHead(dump) + "\nSERVERS\n" + writeServers(servers) + "\nMEASURING\n" + writeProbing(servers)
        + "\nSERVICES\n" + writeServices(dump) + "\nSETTINGS\n" + writeValues(dump) + "\nPEERS\n" + writePeers(dump)
        + "\nCOUNTERS\n" + writeCounters(dump);
}

} // namespace acaciaslip::app
