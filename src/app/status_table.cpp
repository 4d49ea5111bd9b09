#include "app/status_table.hpp"

#include "app/dump_reading.hpp"
#include "app/text_table.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace acaciaslip::app {

namespace {

using nlohmann::json;
using answer_list = std::vector<node_answer>;

/// State of one value across all nodes.
struct value_view {
    std::map<std::string, std::vector<std::string>> nodesByRevision;
    std::optional<double> newestAge; ///< milliseconds since the latest node accepted its revision
    std::vector<std::string> refusedBy;

    [[nodiscard]] bool agrees() const { return nodesByRevision.size() <= 1; }
};

/// State of one server across all nodes.
struct server_view {
    std::string service;
    std::string dataCentre;
    std::map<std::string, int>
        restrictions; ///< number of nodes by restriction of the server's use; empty when unrestricted
    std::set<std::string> reasons;
    int nodes = 0;
    std::optional<double> newestAge; ///< milliseconds since the latest change of its condition at any node

    [[nodiscard]] bool isUnrestricted() const
    {
        return restrictions.size() == 1 && restrictions.begin()->first.empty();
    }
};

/// State of one service across all nodes.
struct service_view {
    std::set<std::string> servers;
    std::map<std::string, std::set<std::string>>
        serversByRestriction; ///< servers by the restriction that most nodes report
    double slots = 0;
    double inFlight = 0;
    double waiting = 0;
    double probes = 0;
    double probesPerSecond = 0;
    double retryTokens = 0;
    double hedgeTokens = 0;
};

void keepMinimum(std::optional<double>& minimum, std::optional<double> candidate)
{
    if (candidate && (!minimum || *candidate < *minimum))
        minimum = candidate;
}

std::map<std::string, value_view> viewValues(const answer_list& answers)
{
    std::map<std::string, value_view> views;
    std::set<std::string> keys;
    for (const auto& answer : answers) {
        if (!answer.dump.ok())
            continue;
        for (const auto& [key, value] : readObject(*answer.dump, "values").items())
            keys.insert(key);
    }
    for (const auto& answer : answers) {
        if (!answer.dump.ok())
            continue;
        const auto id = readText(*answer.dump, "id");
        const auto& values = readObject(*answer.dump, "values");
        for (const auto& key : keys) {
            const auto& value = readObject(values, key);
            auto& view = views[key];
            view.nodesByRevision[value.empty() ? "0" : readCount(value, "revision")].push_back(id);
            keepMinimum(view.newestAge, parseUnsigned(value, "age_ms"));
            if (!readObject(value, "refused").empty())
                view.refusedBy.push_back(id);
        }
    }
    return views;
}

std::map<std::string, server_view> viewServers(const answer_list& answers)
{
    std::map<std::string, server_view> views;
    for (const auto& answer : answers) {
        if (!answer.dump.ok())
            continue;
        for (const auto& [id, server] : readObject(*answer.dump, "servers").items()) {
            auto& view = views[id];
            view.service = readText(server, "team") + '/' + readText(server, "service");
            view.dataCentre = readText(server, "data_centre");
            const auto restriction = findRestriction(server);
            ++view.restrictions[restriction];
            ++view.nodes;
            if (!restriction.empty())
                view.reasons.insert(readText(server, "reason"));
            keepMinimum(view.newestAge, parseUnsigned(server, "condition_age_ms"));
        }
    }
    return views;
}

/// Returns the restriction that most nodes report.
std::string findMajorityRestriction(const server_view& view)
{
    const auto most = std::max_element(view.restrictions.begin(), view.restrictions.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    return most == view.restrictions.end() ? std::string() : most->first;
}

std::map<std::string, service_view> viewServices(
    const answer_list& answers, const std::map<std::string, server_view>& servers)
{
    std::map<std::string, service_view> views;
    for (const auto& [id, server] : servers) {
        auto& view = views[server.service];
        view.servers.insert(id);
        view.serversByRestriction[findMajorityRestriction(server)].insert(id);
    }
    for (const auto& answer : answers) {
        if (!answer.dump.ok())
            continue;
        for (const auto& [name, service] : readObject(*answer.dump, "services").items()) {
            auto& view = views[name];
            view.slots = parseUnsigned(service, "slots").value_or(0);
            view.waiting += parseUnsigned(service, "waiting").value_or(0);
            view.retryTokens += parseUnsigned(service, "retry_tokens").value_or(0);
            view.hedgeTokens += parseUnsigned(service, "hedge_tokens").value_or(0);
        }
        for (const auto& server : readObject(*answer.dump, "servers")) {
            auto& view = views[readText(server, "team") + '/' + readText(server, "service")];
            view.inFlight += parseUnsigned(server, "in_flight").value_or(0);
            view.probes += parseUnsigned(server, "probes_spent").value_or(0);
            if (readText(server, "listing") != "absent")
                view.probesPerSecond += parseUnsigned(server, "probes_allowed_per_second").value_or(0);
        }
    }
    return views;
}

std::set<std::string> findDataCentresOut(const answer_list& answers)
{
    std::set<std::string> out;
    for (const auto& answer : answers) {
        if (!answer.dump.ok())
            continue;
        for (const auto& server : readObject(*answer.dump, "servers")) {
            if (readFlag(server, "data_centre_out") && readText(server, "listing") != "absent")
                out.insert(readText(server, "data_centre"));
        }
    }
    return out;
}

/// Formats which nodes have which revision, for example "7 at entry-a1, entry-b1; 6 at entry-c1".
std::string describeRevisions(const value_view& view)
{
    std::string text;
    for (const auto& [revision, nodes] : view.nodesByRevision)
        text += fmt::format("{}{} at {}", text.empty() ? "" : "; ", revision, fmt::join(nodes, ", "));
    return text;
}

std::string writeAttention(const answer_list& answers, const std::map<std::string, value_view>& values)
{
    std::string text;
    for (const auto& answer : answers) {
        if (!answer.dump.ok())
            text += fmt::format("  NO ANSWER: {}\n", std::string(answer.dump.status().message()));
    }
    for (const auto& [key, view] : values) {
        if (!view.agrees())
            text += fmt::format("  the nodes differ in {}: revision {}\n", key, describeRevisions(view));
    }
    for (const auto& answer : answers) {
        if (!answer.dump.ok())
            continue;
        for (const auto& problem : findProblems(*answer.dump))
            text += fmt::format("  {} {}\n", readText(*answer.dump, "id"), problem);
    }
    const auto out = findDataCentresOut(answers);
    if (!out.empty())
        text += fmt::format("  data centres out: {}\n", fmt::join(out, ", "));
    return text.empty() ? "  nothing\n" : text;
}

std::string writeNodes(const answer_list& answers)
{
    text_table table({ "node", "address", "data centre", "phase", "for", "picture", "in progress", "peers heard" });
    for (const auto& answer : answers) {
        if (!answer.dump.ok()) {
            table.add({ "?", answer.address, "?", "NO ANSWER" });
            continue;
        }
        const auto& dump = *answer.dump;
        table.add({ readText(dump, "id"), answer.address, readText(dump, "data_centre"), readText(dump, "phase"),
            formatDuration(parseUnsigned(dump, "phase_age_ms")), readFlag(dump, "picture_suspect") ? "SUSPECT" : "good",
            readCount(dump, "requests_in_progress"),
            fmt::format("{} of {}", countRecentPeers(dump), readObject(dump, "peers").size()) });
    }
    return table.format();
}

std::string writeRestrictedServers(const std::map<std::string, server_view>& servers)
{
    text_table table({ "server", "service", "data centre", "seen as", "why", "changed" });
    for (const auto& [id, view] : servers) {
        if (view.isUnrestricted())
            continue;
        std::string seen;
        for (const auto& [restriction, nodes] : view.restrictions)
            seen += fmt::format("{}{} by {} of {}", seen.empty() ? "" : ", ",
                restriction.empty() ? "warm" : restriction, nodes, view.nodes);
        table.add({ id, view.service, view.dataCentre, seen, fmt::format("{}", fmt::join(view.reasons, ", ")),
            formatDuration(view.newestAge) });
    }
    return table.empty() ? "  none\n" : table.format();
}

std::string writeServices(const std::map<std::string, service_view>& services)
{
    text_table table({ "service", "servers", "warm", "cold", "ejected", "leaving", "out", "other", "in flight", "slots",
        "waiting", "probes", "allowed a second", "retry tokens", "hedge tokens" });
    const auto count = [](const service_view& view, const char* restriction) {
        const auto found = view.serversByRestriction.find(restriction);
        return found == view.serversByRestriction.end() ? std::size_t { 0 } : found->second.size();
    };
    for (const auto& [name, view] : services) {
        const auto warm = count(view, "");
        const auto cold = count(view, "cold");
        const auto ejected = count(view, "ejected");
        const auto leaving = count(view, "leaving");
        const auto out = count(view, "data centre out");
        const auto other = view.servers.size() - warm - cold - ejected - leaving - out;
        const double allSlots = view.slots * static_cast<double>(view.servers.size());
        table.add({ name, std::to_string(view.servers.size()), std::to_string(warm), std::to_string(cold),
            std::to_string(ejected), std::to_string(leaving), std::to_string(out), std::to_string(other),
            fmt::format("{:.0f}", view.inFlight), fmt::format("{:.0f}", allSlots), fmt::format("{:.0f}", view.waiting),
            fmt::format("{:.0f}", view.probes), fmt::format("{:.2f}", view.probesPerSecond),
            fmt::format("{:.1f}", view.retryTokens), fmt::format("{:.1f}", view.hedgeTokens) });
    }
    return table.empty() ? "  none\n" : table.format();
}

std::string writeValues(const std::map<std::string, value_view>& values)
{
    text_table table({ "value", "revision", "newest taken", "refused by" });
    for (const bool agreeing : { false, true }) {
        for (const auto& [key, view] : values) {
            if (view.agrees() != agreeing)
                continue;
            const auto revision
                = agreeing ? view.nodesByRevision.begin()->first : "DIFFERS: " + describeRevisions(view);
            table.add(
                { key, revision, formatDuration(view.newestAge), fmt::format("{}", fmt::join(view.refusedBy, ", ")) });
        }
    }
    return table.empty() ? "  none\n" : table.format();
}

/// Sums every counter over all nodes.
std::map<std::string, double> sumCounters(const answer_list& answers)
{
    std::map<std::string, double> sums;
    for (const auto& answer : answers) {
        if (!answer.dump.ok())
            continue;
        for (const auto& [name, counter] : readObject(*answer.dump, "counters").items()) {
            if (counter.is_number())
                sums[name] += counter.get<double>();
            else if (counter.is_object())
                for (const auto& [kind, count] : counter.items())
                    sums[fmt::format("{} {}", name, kind)] += count.is_number() ? count.get<double>() : 0;
        }
    }
    return sums;
}

std::string writeCounters(const answer_list& answers)
{
    text_table table({ "counted by all nodes that answered", "" });
    for (const auto& [name, sum] : sumCounters(answers)) {
        if (sum > 0)
            table.add({ name, fmt::format("{:.0f}", sum) });
    }
    return table.empty() ? "  nothing yet\n" : table.format();
}

std::size_t countAnswered(const answer_list& answers)
{
    return static_cast<std::size_t>(
        std::count_if(answers.begin(), answers.end(), [](const auto& answer) { return answer.dump.ok(); }));
}

} // namespace

bool doNodesAgree(const answer_list& answers)
{
    const auto values = viewValues(answers);
    return std::all_of(values.begin(), values.end(), [](const auto& entry) { return entry.second.agrees(); });
}

std::string formatStatus(const answer_list& answers)
{
    const auto values = viewValues(answers);
    const auto servers = viewServers(answers);
    return fmt::format("{} of {} nodes answered; {}\n", countAnswered(answers), answers.size(),
               doNodesAgree(answers) ? "they have the same settings in force" : "THEIR SETTINGS DIFFER")
        + "\nATTENTION\n" + writeAttention(answers, values) + "\nNODES\n" + writeNodes(answers)
        + "\nSERVERS NOT FULLY IN USE\n" + writeRestrictedServers(servers) + "\nSERVICES\n"
        + writeServices(viewServices(answers, servers)) + "\nSETTINGS\n" + writeValues(values) + "\nCOUNTERS\n"
        + writeCounters(answers);
}

json describeStatus(const answer_list& answers)
{
    json described { { "answered", countAnswered(answers) }, { "asked", answers.size() },
        { "agree", doNodesAgree(answers) }, { "data_centres_out", findDataCentresOut(answers) },
        { "nodes", json::object() }, { "values", json::object() }, { "servers", json::object() },
        { "counters", sumCounters(answers) } };
    for (const auto& answer : answers) {
        auto& node = described["nodes"][answer.address];
        if (answer.dump.ok())
            node = { { "answered", true }, { "id", readText(*answer.dump, "id") },
                { "phase", readText(*answer.dump, "phase") },
                { "picture_suspect", readFlag(*answer.dump, "picture_suspect") },
                { "peers_heard", countRecentPeers(*answer.dump) },
                { "peers", readObject(*answer.dump, "peers").size() }, { "troubles", findProblems(*answer.dump) } };
        else
            node = { { "answered", false }, { "error", std::string(answer.dump.status().message()) } };
    }
    for (const auto& [key, view] : viewValues(answers))
        described["values"][key] = { { "nodes_by_revision", view.nodesByRevision }, { "refused_by", view.refusedBy } };
    for (const auto& [id, view] : viewServers(answers))
        described["servers"][id] = { { "service", view.service }, { "data_centre", view.dataCentre },
            { "nodes_by_handicap", view.restrictions }, { "reasons", view.reasons } };
    return described;
}

} // namespace acaciaslip::app
