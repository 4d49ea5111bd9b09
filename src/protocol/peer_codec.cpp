#include "protocol/peer_codec.hpp"

#include "protocol/generated/peer_types.h"
#include "protocol/thrift_frame.hpp"

#include <limits>

#include <fmt/format.h>

namespace acaciaslip::protocol {

namespace {

/// Maximum number of entries of a list, including lists in fields that this build does not know.
constexpr int maxContainerEntries = static_cast<int>(coordination::maxListEntries);

absl::Status tooLong(std::string_view what, std::size_t size, std::size_t limit)
{
    return absl::ResourceExhaustedError(fmt::format("size of {} is {}; the limit is {}", what, size, limit));
}

absl::Status checkText(std::string_view what, std::string_view text, std::size_t limit)
{
    if (text.empty())
        return absl::InvalidArgumentError(fmt::format("{} is empty", what));
    return text.size() > limit ? tooLong(what, text.size(), limit) : absl::OkStatus();
}

absl::Status checkNumber(std::string_view what, std::uint64_t number, std::uint64_t limit)
{
    if (number > limit)
        return absl::InvalidArgumentError(fmt::format("{} {} out of range", what, number));
    return absl::OkStatus();
}

constexpr std::uint64_t maxInt64 = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t maxInt32 = std::numeric_limits<std::int32_t>::max();
constexpr std::uint64_t maxCondition = state::serverConditionNames.size() - 1;
constexpr std::uint64_t maxHealth = state::observedHealthNames.size() - 1;

absl::Status firstError(std::initializer_list<absl::Status> checks)
{
    for (const auto& check : checks) {
        if (!check.ok())
            return check;
    }
    return absl::OkStatus();
}

absl::Status check(const state::condition_change& change)
{
    return firstError({ checkText("server id", change.server, coordination::maxNameBytes),
        checkNumber("limit", change.limit, maxInt32),
        checkNumber("condition", static_cast<std::uint64_t>(change.condition), maxCondition),
        checkNumber("health", static_cast<std::uint64_t>(change.health), maxHealth),
        checkNumber("epoch", change.epoch, maxInt64),
        change.bootId.size() > coordination::maxNameBytes
            ? tooLong("boot id", change.bootId.size(), coordination::maxNameBytes)
            : absl::OkStatus() });
}

absl::Status check(const state::value_revision& value)
{
    return firstError(
        { checkText("key", value.key, coordination::maxKeyBytes), checkNumber("revision", value.number, maxInt64) });
}

absl::Status check(const state::introduced_host& host)
{
    return firstError({ checkText("host id", host.id, coordination::maxNameBytes),
        checkText("address", host.address, coordination::maxAddressBytes),
        checkText("data centre", host.dataCentre, coordination::maxNameBytes) });
}

absl::Status check(const state::load_delta& load)
{
    return checkNumber("in-flight count", load.inFlight, maxInt32);
}

template <typename List> absl::Status checkList(std::string_view what, const List& list)
{
    if (list.size() > coordination::maxListEntries)
        return tooLong(what, list.size(), coordination::maxListEntries);
    for (const auto& entry : list) {
        if (auto status = check(entry); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status check(const state::peer_message& message)
{
    return firstError({ checkText("sender", message.sender, coordination::maxNameBytes),
        checkNumber("incarnation", message.incarnation, maxInt64), checkNumber("sequence", message.sequence, maxInt64),
        checkNumber("echoed incarnation", message.echoIncarnation, maxInt64),
        checkNumber("echoed sequence", message.echoSequence, maxInt64), checkList("list of loads", message.loads),
        checkList("list of conditions", message.conditions), checkList("list of revisions", message.revisions),
        checkList("list of introduced hosts", message.introduced) });
}

template <typename Struct> absl::StatusOr<std::string> encode(const Struct& wireStruct, std::size_t limit)
{
    return encodeThrift(wireStruct, peerProtocolVersion, limit);
}

template <typename Struct> absl::StatusOr<Struct> decode(std::string_view bytes, std::size_t limit)
{
    return decodeThrift<Struct>(bytes, peerProtocolVersion, limit, maxContainerEntries);
}

wire::condition_change toWire(const state::condition_change& change)
{
    wire::condition_change wireStruct;
    wireStruct.server = change.server;
    wireStruct.condition = static_cast<std::int32_t>(change.condition);
    wireStruct.limit = static_cast<std::int32_t>(change.limit);
    if (!change.bootId.empty())
        wireStruct.__set_boot(change.bootId);
    if (change.epoch != 0)
        wireStruct.__set_epoch(static_cast<std::int64_t>(change.epoch));
    if (change.health != state::observed_health::unread)
        wireStruct.__set_health(static_cast<std::int32_t>(change.health));
    return wireStruct;
}

wire::value_revision toWire(const state::value_revision& value)
{
    wire::value_revision wireStruct;
    wireStruct.key = value.key;
    wireStruct.number = static_cast<std::int64_t>(value.number);
    return wireStruct;
}

wire::introduced_host toWire(const state::introduced_host& host)
{
    wire::introduced_host wireStruct;
    wireStruct.id = host.id;
    wireStruct.address = host.address;
    wireStruct.dataCentre = host.dataCentre;
    return wireStruct;
}

state::condition_change fromWire(const wire::condition_change& wireStruct)
{
    return { wireStruct.server, static_cast<state::server_condition>(wireStruct.condition),
        static_cast<std::uint32_t>(wireStruct.limit), wireStruct.boot,
        static_cast<state::observed_health>(wireStruct.health), static_cast<std::uint64_t>(wireStruct.epoch) };
}

state::value_revision fromWire(const wire::value_revision& wireStruct)
{
    return { wireStruct.key, static_cast<std::uint64_t>(wireStruct.number) };
}

state::introduced_host fromWire(const wire::introduced_host& wireStruct)
{
    return { wireStruct.id, wireStruct.address, wireStruct.dataCentre };
}

/// Converts each entry of a list with toWire or fromWire.
template <typename To, typename From, typename Convert>
std::vector<To> convert(const std::vector<From>& list, Convert convertEntry)
{
    std::vector<To> converted;
    converted.reserve(list.size());
    for (const auto& entry : list)
        converted.push_back(convertEntry(entry));
    return converted;
}

void setLoads(wire::peer_message& wireStruct, const std::vector<state::load_delta>& loads)
{
    std::vector<std::int32_t> servers;
    std::vector<std::int32_t> counts;
    for (const auto& load : loads) {
        servers.push_back(static_cast<std::int32_t>(load.server));
        counts.push_back(static_cast<std::int32_t>(load.inFlight));
    }
    wireStruct.__set_loadServers(servers);
    wireStruct.__set_loadCounts(counts);
}

wire::peer_message toWire(const state::peer_message& message)
{
    wire::peer_message wireStruct;
    wireStruct.sender = message.sender;
    wireStruct.incarnation = static_cast<std::int64_t>(message.incarnation);
    wireStruct.sequence = static_cast<std::int64_t>(message.sequence);
    if (message.leaving)
        wireStruct.__set_leaving(true);
    if (message.queryId != 0)
        wireStruct.__set_question(static_cast<std::int64_t>(message.queryId));
    if (message.queryReplyTo != 0)
        wireStruct.__set_answerTo(static_cast<std::int64_t>(message.queryReplyTo));
    if (message.echoIncarnation != 0) {
        wireStruct.__set_echoIncarnation(static_cast<std::int64_t>(message.echoIncarnation));
        wireStruct.__set_echoSequence(static_cast<std::int64_t>(message.echoSequence));
    }
    if (!message.loads.empty())
        setLoads(wireStruct, message.loads);
    const auto convertEntry = [](const auto& entry) { return toWire(entry); };
    if (!message.conditions.empty())
        wireStruct.__set_conditions(convert<wire::condition_change>(message.conditions, convertEntry));
    if (!message.revisions.empty())
        wireStruct.__set_revisions(convert<wire::value_revision>(message.revisions, convertEntry));
    if (!message.introduced.empty())
        wireStruct.__set_introduced(convert<wire::introduced_host>(message.introduced, convertEntry));
    return wireStruct;
}

state::peer_message fromWire(const wire::peer_message& wireStruct)
{
    state::peer_message message;
    message.sender = wireStruct.sender;
    message.incarnation = static_cast<std::uint64_t>(wireStruct.incarnation);
    message.sequence = static_cast<std::uint64_t>(wireStruct.sequence);
    message.leaving = wireStruct.leaving;
    message.queryId = static_cast<std::uint64_t>(wireStruct.question);
    message.queryReplyTo = static_cast<std::uint64_t>(wireStruct.answerTo);
    message.echoIncarnation = static_cast<std::uint64_t>(wireStruct.echoIncarnation);
    message.echoSequence = static_cast<std::uint64_t>(wireStruct.echoSequence);
    for (std::size_t index = 0; index < wireStruct.loadServers.size(); ++index)
        message.loads.push_back({ static_cast<state::server_tag>(wireStruct.loadServers[index]),
            static_cast<std::uint32_t>(wireStruct.loadCounts[index]) });
    const auto convertEntry = [](const auto& entry) { return fromWire(entry); };
    message.conditions = convert<state::condition_change>(wireStruct.conditions, convertEntry);
    message.revisions = convert<state::value_revision>(wireStruct.revisions, convertEntry);
    message.introduced = convert<state::introduced_host>(wireStruct.introduced, convertEntry);
    return message;
}

} // namespace

absl::StatusOr<std::string> encodeDatagram(const state::peer_message& message)
{
    if (auto status = check(message); !status.ok())
        return status;
    return encode(toWire(message), coordination::maxDatagramBytes);
}

absl::StatusOr<state::peer_message> decodeDatagram(std::string_view bytes)
{
    const auto wireStruct = decode<wire::peer_message>(bytes, coordination::maxDatagramBytes);
    if (!wireStruct.ok())
        return wireStruct.status();
    if (wireStruct->loadServers.size() != wireStruct->loadCounts.size())
        return absl::InvalidArgumentError("list of loads has different numbers of servers and counts");
    auto message = fromWire(*wireStruct);
    if (auto status = check(message); !status.ok())
        return status;
    return message;
}

absl::StatusOr<std::string> encodeValueRequest(const value_request& request)
{
    if (auto status = check(state::value_revision { request.key, request.after }); !status.ok())
        return status;
    wire::value_request wireStruct;
    wireStruct.key = request.key;
    wireStruct.after = static_cast<std::int64_t>(request.after);
    return encode(wireStruct, maxRequestFrameBytes);
}

absl::StatusOr<value_request> decodeValueRequest(std::string_view bytes)
{
    const auto wireStruct = decode<wire::value_request>(bytes, maxRequestFrameBytes);
    if (!wireStruct.ok())
        return wireStruct.status();
    value_request request { wireStruct->key, static_cast<state::revision>(wireStruct->after) };
    if (auto status = check(state::value_revision { request.key, request.after }); !status.ok())
        return status;
    return request;
}

absl::StatusOr<std::string> encodeValueAnswer(const value_answer& answer)
{
    if (auto status = check(state::value_revision { answer.key, answer.revision }); !status.ok())
        return status;
    if (answer.body.size() > maxValueBytes)
        return tooLong("value", answer.body.size(), maxValueBytes);
    wire::value_answer wireStruct;
    wireStruct.key = answer.key;
    wireStruct.number = static_cast<std::int64_t>(answer.revision);
    wireStruct.body = answer.body;
    return encode(wireStruct, maxValueFrameBytes);
}

absl::StatusOr<value_answer> decodeValueAnswer(std::string_view bytes)
{
    auto wireStruct = decode<wire::value_answer>(bytes, maxValueFrameBytes);
    if (!wireStruct.ok())
        return wireStruct.status();
    value_answer answer { std::move(wireStruct->key), static_cast<state::revision>(wireStruct->number),
        std::move(wireStruct->body) };
    if (auto status = check(state::value_revision { answer.key, answer.revision }); !status.ok())
        return status;
    if (answer.body.size() > maxValueBytes)
        return tooLong("value", answer.body.size(), maxValueBytes);
    return answer;
}

} // namespace acaciaslip::protocol
