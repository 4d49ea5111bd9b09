#include "fuzz/targets.hpp"

#include "coordination/gateway/node.hpp"
#include "fuzz/samples.hpp"
#include "platform/host_settings.hpp"
#include "platform/http_format.hpp"
#include "platform/item_reader.hpp"
#include "platform/store_answer.hpp"
#include "protocol/gateway_peer_codec.hpp"
#include "protocol/http/message_parser.hpp"
#include "protocol/peer_codec.hpp"
#include "protocol/server_http_messages.hpp"
#include "protocol/server_reports.hpp"

#include <cmath>
#include <cstdlib>

#include <fmt/format.h>

namespace acaciaslip::fuzz {

namespace {

using protocol::http::message_limits;
using protocol::http::message_parser;
using protocol::http::message_side;
using protocol::http::parse_status;

constexpr message_limits limits { 1024, 4096 };

/// Ends the process, so that the driver reports the input.
void require(bool holds, std::string_view promise)
{
    if (holds)
        return;
    fmt::print(stderr, "broken: {}\n", promise);
    std::abort();
}

/// Parses a text in reads of random sizes.
void parseMessages(message_side side, const std::string& text, pcg32& random)
{
    constexpr std::uint32_t longestRead = 64;
    const auto budget = std::make_shared<coordination::memory_budget>(coordination::makeMemoryBudget(0));
    {
        message_parser parser(side, limits);
        parser.useBudget(budget);
        std::string_view rest = text;
        while (!rest.empty()) {
            auto read = rest.substr(0, 1 + random(longestRead));
            const auto size = read.size();
            const auto status = parser.consume(read);
            rest.remove_prefix(size - read.size());
            if (status == parse_status::complete)
                require(parser.takeMessage().body.size() <= limits.bodyBytes, "bodies keep their limit");
            else if (status != parse_status::incomplete)
                break;
        }
        (void)parser.finish();
    }
    require(budget->heldBytes == 0, "a parser releases its memory");
}

void readRequests(const std::string& input, pcg32& random)
{
    parseMessages(message_side::requests, input, random);
}

void readAnswers(const std::string& input, pcg32& random)
{
    parseMessages(message_side::answers, input, random);
}

/// Takes the input as the values of the headers that servers set.
void readServerHeaders(const std::string& input, pcg32& /*random*/)
{
    static const auto format = platform::makeHttpFormat();
    protocol::http::message answer;
    answer.status = 200; // NOLINT: OK
    for (const auto& name : { format.names.load, format.names.requestLimit, format.names.coldRemaining })
        answer.headers.push_back({ name, input });
    const auto probed = protocol::readProbeAnswer(format, answer, "s1");
    const auto finished = protocol::readAttemptAnswer(format, answer);
    require(probed.coldRemaining >= state::duration::zero(), "a cold period is not negative");
    require(
        std::isfinite(finished.limit.perSecond) && finished.limit.perSecond >= 0, "a limit is a number of requests");
    require(!probed.report || probed.report->slowdown > 0, "a slowdown is positive");
}

void requireRelayable(const state::gateway::published_fleet& fleet)
{
    state::gateway::fleet_delta delta;
    delta.changes = fleet;
    const auto bytes = protocol::encodeDelta(delta);
    require(bytes.ok() && protocol::decodeDelta(*bytes).ok(), "what a host reads from the store reaches its peers");
}

void readStoreItems(const std::string& input, pcg32& /*random*/)
{
    for (const auto* field : { "items", "events" }) {
        const auto read = platform::readStoreAnswer(input, field, "op/");
        if (!read.ok())
            continue;
        require(!read->nextPageAfter || *read->nextPageAfter > "op/", "a listing proceeds");
        state::gateway::published_fleet fleet;
        for (const auto& item : read->items)
            (void)platform::addItem(item, fleet);
        requireRelayable(fleet);
    }
}

/// Every key must identify exactly one team.
void checkTeams(const state::gateway::configuration& config)
{
    const auto index = coordination::gateway::indexKeys(std::make_shared<const state::gateway::configuration>(config));
    for (const auto& team : config.teams) {
        require(!team.name.empty(), "a team has a name");
        for (const auto& key : team.keys) {
            const auto* found = coordination::gateway::findTeam(index, key);
            require(!key.empty() && found != nullptr && found->name == team.name, "a key identifies one team");
        }
    }
}

void readStoreValues(const std::string& input, pcg32& /*random*/)
{
    const auto entry = platform::readServerEntry("i-1", input);
    const auto config = platform::readConfiguration(input);
    state::gateway::published_fleet fleet;
    if (entry.ok())
        fleet.servers["i-1"] = { 1, *entry };
    if (config.ok())
        fleet.config = { 1, *config };
    requireRelayable(fleet);
    for (const auto& route : config.ok() ? config->routes : std::vector<state::gateway::route> {})
        require(!route.split.empty(), "a route has a service");
    if (config.ok())
        checkTeams(*config);
}

void readSettings(const std::string& input, pcg32& /*random*/)
{
    const auto read = platform::readHostSettings(input, "boot.yaml");
    require(read.ok() ? !read->id.empty() : read.status().message().find("boot.yaml") != std::string::npos,
        "settings are complete, or the error names the file");
}

/// Gives a datagram to a host, which must work on.
void readHeartbeat(const std::string& input, pcg32& random)
{
    namespace gateway = coordination::gateway;
    static auto node = [] {
        gateway::node_settings settings;
        settings.ip = "10.0.0.1";
        settings.dataCentre = "a";
        return gateway::makeNode(settings, state::time_point { std::chrono::hours { 1 } });
    }();
    static state::time_point now { std::chrono::hours { 1 } };
    const auto heartbeat = protocol::decodeHeartbeat(input);
    if (!heartbeat.ok())
        return;
    now += std::chrono::milliseconds { random(100) }; // NOLINT: pace of heartbeats
    gateway::effect_list effects;
    gateway::handle(node, gateway::heartbeat_received { heartbeat->sender, *heartbeat }, now, random, effects);
    const auto wakeUp = gateway::nextWakeUp(node);
    require(wakeUp.has_value(), "a host that runs has a next step");
    require(protocol::encodeHeartbeat(*heartbeat).ok() || heartbeat->peers.size() > 1, "what was read can be written");
}

/// Reads a load report of a server of `serve`, and makes the message that tells peers of it.
void readServerReport(const std::string& input, pcg32& /*random*/)
{
    (void)protocol::readHealth(input);
    const auto load = protocol::parseLoad(input);
    if (!load)
        return;
    state::peer_message message;
    message.sender = "entry-1";
    message.conditions = { { "s1", state::server_condition::cold, 1, load->bootId } };
    const auto bytes = protocol::encodeDatagram(message);
    require(bytes.ok() && protocol::decodeDatagram(*bytes).ok(), "what a server reports reaches the peers");
}

void readDelta(const std::string& input, pcg32& /*random*/)
{
    const auto delta = protocol::decodeDelta(input);
    require(!delta.ok() || protocol::encodeDelta(*delta).ok(), "what was read can be written");
}

void readNodeMessages(const std::string& input, pcg32& /*random*/)
{
    (void)protocol::decodeDatagram(input);
    (void)protocol::decodeValueRequest(input);
    (void)protocol::decodeValueAnswer(input);
}

} // namespace

std::span<const target> allTargets()
{
    static const std::vector<std::string_view> http { "\r\n", "\n", "\r", ":", " ", "0\r\n\r\n", "HTTP/1.1 ",
        "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n", "ffffffffffffffff", "-1", "\xff", "\t", ";", ",",
        "100" };
    static const std::vector<std::string_view> json { "{", "}", "[", "]", "\"", ":", ",", "null", "true", "-1", "1e400",
        "18446744073709551616", "\\ud800", "\xff", "[[[[[[[[[[[[[[[[", "0.0.0", "\"\"" };
    static const std::vector<std::string_view> yaml { ":", "- ", "[", "]", "{", "}", "'", "\"", "\n", "  ", "&a ", "*a",
        "!!binary ", "~", "-1", "99999999999999999999", "1e309", "\t", "\xff", "? ", "|", "---\n", "<<: ", "#" };
    static const std::vector<std::string_view> bytes { std::string_view("\x00", 1), "\x01", "\x7f", "\x80", "\xff",
        "\xff\xff\xff\xff\x0f", "\x19", "\x1c", "\x2c", "\xf9" };
    static const std::vector<std::string_view> numbers { "-", ".", ",", "0", "9", "e9", "inf", "nan", " ", "x",
        "99999999999" };
    static const std::vector<target> targets {
        { "http_requests",
            { "POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
                "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\nGET / "
                "HTTP/1.1\r\n\r\n" },
            http, readRequests },
        { "http_answers",
            { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nA: b\r\n\r\n",
                "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n\r\nhello" },
            http, readAnswers },
        { "server_headers", { "3,1,8,500", "1.5", "2500" }, numbers, readServerHeaders },
        { "store_items",
            { R"({"as-of":9,"has-more":true,"items":[{"key":"op/config","revision":5,"value":"e30="},)"
              R"({"key":"op/evacuate/a","revision":6,"value":"e30="}]})",
                R"({"as-of":9,"events":[{"key":"servers/i-1","revision":7,"compacted":true}]})" },
            json, readStoreItems },
        { "store_values",
            { std::string(sampleConfiguration), std::string(sampleTeams), std::string(sampleServerEntry) }, json,
            readStoreValues },
        { "settings",
            { "self: {node-name: host0, ip: 10.0.0.1, zone: a, limits: {memory-mb: 160}}\n"
              "network:\n  listen: {front: '10.0.0.1:1', ready: '10.0.0.1:2', control: '10.0.0.1:3'}\n"
              "  internal-ports: [4, 5]\n  seeds: ['10.0.0.2:3']\n"
              "platform: {platform: {address: '10.0.0.3:4'}}\n"
              "terms: {bounds: {grace: 4s, config-apply: 2s, retry-ratio: 0.2}}\n" },
            yaml, readSettings },
        { "server_reports",
            { fmt::format(R"({{"boot":"{}","in_flight":1,"queued":0,"slots":4}})", std::string(120, 'b')) }, json,
            readServerReport },
        { "heartbeat", { sampleHeartbeat() }, bytes, readHeartbeat },
        { "fleet", { protocol::encodeDelta(sampleDelta()).value_or("") }, bytes, readDelta },
        { "node_messages", { sampleNodeMessage() }, bytes, readNodeMessages },
    };
    return targets;
}

} // namespace acaciaslip::fuzz
