#include "protocol/peer_codec.hpp"

#include "protocol/generated/peer_types.h"
#include "protocol/thrift_frame.hpp"

#include <limits>

#include <fmt/format.h>

namespace acaciaslip::protocol {

namespace {

/// The most entries of a list in a frame of fields that this build does not know.
constexpr int maxContainerEntries = static_cast<int>(coordination::maxListEntries);

absl::Status tooLong(std::string_view what, std::size_t size, std::size_t limit)
{
    return absl::ResourceExhaustedError(fmt::format("{} is {} long; at most {} is allowed", what, size, limit));
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
        return absl::InvalidArgumentError(fmt::format("{} {} is out of range", what, number));
    return absl::OkStatus();
}

constexpr std::uint64_t maxSigned = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t maxShort = std::numeric_limits<std::int32_t>::max();
constexpr std::uint64_t maxCondition = state::serverConditionNames.size() - 1;
constexpr std::uint64_t maxHealth = state::toldHealthNames.size() - 1;

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
        checkNumber("limit", change.limit, maxShort),
        checkNumber("condition", static_cast<std::uint64_t>(change.condition), maxCondition),
        checkNumber("health", static_cast<std::uint64_t>(change.health), maxHealth),
        checkNumber("epoch", change.epoch, maxSigned),
        change.boot.size() > coordination::maxNameBytes
            ? tooLong("boot id", change.boot.size(), coordination::maxNameBytes)
            : absl::OkStatus() });
}

absl::Status check(const state::value_revision& known)
{
    return firstError(
        { checkText("key", known.key, coordination::maxKeyBytes), checkNumber("revision", known.number, maxSigned) });
}

absl::Status check(const state::introduced_host& host)
{
    return firstError({ checkText("host id", host.id, coordination::maxNameBytes),
        checkText("address", host.address, coordination::maxAddressBytes),
        checkText("data centre", host.dataCentre, coordination::maxNameBytes) });
}

absl::Status check(const state::load_delta& load)
{
    return checkNumber("in-flight count", load.inFlight, maxShort);
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
    return firstError({ checkText("sender", message.from, coordination::maxNameBytes),
        checkNumber("incarnation", message.incarnation, maxSigned),
        checkNumber("sequence", message.sequence, maxSigned),
        checkNumber("echoed incarnation", message.echoIncarnation, maxSigned),
        checkNumber("echoed sequence", message.echoSequence, maxSigned), checkList("list of loads", message.loads),
        checkList("list of conditions", message.conditions), checkList("list of revisions", message.revisions),
        checkList("list of introduced hosts", message.introduced) });
}

template <typename Struct> absl::StatusOr<std::string> encode(const Struct& wired, std::size_t limit)
{
    return encodeThrift(wired, peerVersion, limit);
}

template <typename Struct> absl::StatusOr<Struct> decode(std::string_view bytes, std::size_t limit)
{
    return decodeThrift<Struct>(bytes, peerVersion, limit, maxContainerEntries);
}

wire::condition_change toWire(const state::condition_change& change)
{
    wire::condition_change wired;
    wired.server = change.server;
    wired.condition = static_cast<std::int32_t>(change.condition);
    wired.limit = static_cast<std::int32_t>(change.limit);
    if (!change.boot.empty())
        wired.__set_boot(change.boot);
    if (change.epoch != 0)
        wired.__set_epoch(static_cast<std::int64_t>(change.epoch));
    if (change.health != state::told_health::unread)
        wired.__set_health(static_cast<std::int32_t>(change.health));
    return wired;
}

wire::value_revision toWire(const state::value_revision& known)
{
    wire::value_revision wired;
    wired.key = known.key;
    wired.number = static_cast<std::int64_t>(known.number);
    return wired;
}

wire::introduced_host toWire(const state::introduced_host& host)
{
    wire::introduced_host wired;
    wired.id = host.id;
    wired.address = host.address;
    wired.dataCentre = host.dataCentre;
    return wired;
}

state::condition_change fromWire(const wire::condition_change& wired)
{
    return { wired.server, static_cast<state::server_condition>(wired.condition),
        static_cast<std::uint32_t>(wired.limit), wired.boot, static_cast<state::told_health>(wired.health),
        static_cast<std::uint64_t>(wired.epoch) };
}

state::value_revision fromWire(const wire::value_revision& wired)
{
    return { wired.key, static_cast<std::uint64_t>(wired.number) };
}

state::introduced_host fromWire(const wire::introduced_host& wired)
{
    return { wired.id, wired.address, wired.dataCentre };
}

/// Converts each entry of a list, by toWire or fromWire.
template <typename To, typename From, typename Convert>
std::vector<To> convert(const std::vector<From>& list, Convert one)
{
    std::vector<To> converted;
    converted.reserve(list.size());
    for (const auto& entry : list)
        converted.push_back(one(entry));
    return converted;
}

void setLoads(wire::peer_message& wired, const std::vector<state::load_delta>& loads)
{
    std::vector<std::int32_t> servers;
    std::vector<std::int32_t> counts;
    for (const auto& load : loads) {
        servers.push_back(static_cast<std::int32_t>(load.server));
        counts.push_back(static_cast<std::int32_t>(load.inFlight));
    }
    wired.__set_loadServers(servers);
    wired.__set_loadCounts(counts);
}

wire::peer_message toWire(const state::peer_message& message)
{
    wire::peer_message wired;
    wired.sender = message.from;
    wired.incarnation = static_cast<std::int64_t>(message.incarnation);
    wired.sequence = static_cast<std::int64_t>(message.sequence);
    if (message.leaving)
        wired.__set_leaving(true);
    if (message.question != 0)
        wired.__set_question(static_cast<std::int64_t>(message.question));
    if (message.answerTo != 0)
        wired.__set_answerTo(static_cast<std::int64_t>(message.answerTo));
    if (message.echoIncarnation != 0) {
        wired.__set_echoIncarnation(static_cast<std::int64_t>(message.echoIncarnation));
        wired.__set_echoSequence(static_cast<std::int64_t>(message.echoSequence));
    }
    if (!message.loads.empty())
        setLoads(wired, message.loads);
    const auto one = [](const auto& entry) { return toWire(entry); };
    if (!message.conditions.empty())
        wired.__set_conditions(convert<wire::condition_change>(message.conditions, one));
    if (!message.revisions.empty())
        wired.__set_revisions(convert<wire::value_revision>(message.revisions, one));
    if (!message.introduced.empty())
        wired.__set_introduced(convert<wire::introduced_host>(message.introduced, one));
    return wired;
}

state::peer_message fromWire(const wire::peer_message& wired)
{
    state::peer_message message;
    message.from = wired.sender;
    message.incarnation = static_cast<std::uint64_t>(wired.incarnation);
    message.sequence = static_cast<std::uint64_t>(wired.sequence);
    message.leaving = wired.leaving;
    message.question = static_cast<std::uint64_t>(wired.question);
    message.answerTo = static_cast<std::uint64_t>(wired.answerTo);
    message.echoIncarnation = static_cast<std::uint64_t>(wired.echoIncarnation);
    message.echoSequence = static_cast<std::uint64_t>(wired.echoSequence);
    for (std::size_t index = 0; index < wired.loadServers.size(); ++index)
        message.loads.push_back({ static_cast<state::server_tag>(wired.loadServers[index]),
            static_cast<std::uint32_t>(wired.loadCounts[index]) });
    const auto one = [](const auto& entry) { return fromWire(entry); };
    message.conditions = convert<state::condition_change>(wired.conditions, one);
    message.revisions = convert<state::value_revision>(wired.revisions, one);
    message.introduced = convert<state::introduced_host>(wired.introduced, one);
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
    const auto wired = decode<wire::peer_message>(bytes, coordination::maxDatagramBytes);
    if (!wired.ok())
        return wired.status();
    if (wired->loadServers.size() != wired->loadCounts.size())
        return absl::InvalidArgumentError("as many servers as counts are needed in the list of loads");
    auto message = fromWire(*wired);
    if (auto status = check(message); !status.ok())
        return status;
    return message;
}

absl::StatusOr<std::string> encodeValueRequest(const value_request& request)
{
    if (auto status = check(state::value_revision { request.key, request.after }); !status.ok())
        return status;
    wire::value_request wired;
    wired.key = request.key;
    wired.after = static_cast<std::int64_t>(request.after);
    return encode(wired, maxRequestFrameBytes);
}

absl::StatusOr<value_request> decodeValueRequest(std::string_view bytes)
{
    const auto wired = decode<wire::value_request>(bytes, maxRequestFrameBytes);
    if (!wired.ok())
        return wired.status();
    value_request request { wired->key, static_cast<state::revision>(wired->after) };
    if (auto status = check(state::value_revision { request.key, request.after }); !status.ok())
        return status;
    return request;
}

absl::StatusOr<std::string> encodeValueAnswer(const value_answer& answer)
{
    if (auto status = check(state::value_revision { answer.key, answer.number }); !status.ok())
        return status;
    if (answer.body.size() > maxValueBytes)
        return tooLong("value", answer.body.size(), maxValueBytes);
    wire::value_answer wired;
    wired.key = answer.key;
    wired.number = static_cast<std::int64_t>(answer.number);
    wired.body = answer.body;
    return encode(wired, maxAnswerFrameBytes);
}

absl::StatusOr<value_answer> decodeValueAnswer(std::string_view bytes)
{
    auto wired = decode<wire::value_answer>(bytes, maxAnswerFrameBytes);
    if (!wired.ok())
        return wired.status();
    value_answer answer { std::move(wired->key), static_cast<state::revision>(wired->number), std::move(wired->body) };
    if (auto status = check(state::value_revision { answer.key, answer.number }); !status.ok())
        return status;
    if (answer.body.size() > maxValueBytes)
        return tooLong("value", answer.body.size(), maxValueBytes);
    return answer;
}

} // namespace acaciaslip::protocol
