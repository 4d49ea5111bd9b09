#include "protocol/gateway_codec/reports.hpp"

#include "protocol/gateway_codec/numbers.hpp"

#include <cmath>

namespace acaciaslip::protocol::gateway_codec {

namespace wire = gateway_wire;
namespace fleet = state::gateway;

namespace {

std::string packDigest(const fleet::request_digest& digest)
{
    std::string packed;
    append(packed, digest.high);
    append(packed, digest.low);
    return packed;
}

fleet::request_digest unpackDigest(std::string_view packed)
{
    fleet::request_digest digest;
    if (packed.size() != sizeof digest.high + sizeof digest.low)
        throw range_error("digest of another length");
    digest.high = readNumber<std::uint64_t>(packed, 0);
    digest.low = readNumber<std::uint64_t>(packed, sizeof digest.high);
    return digest;
}

using fleet::maxReportedAmount;

/// Rejects numbers that no host computes, so that one datagram cannot upset what is learned from all.
double checkedAmount(double amount, double minimum)
{
    if (!std::isfinite(amount) || amount < minimum || amount > maxReportedAmount)
        throw range_error("amount out of range");
    return amount;
}

} // namespace

wire::limit_notice toWire(const fleet::limit_notice& notice)
{
    wire::limit_notice wireStruct;
    wireStruct.server = notice.server;
    if (notice.perSecond)
        wireStruct.__set_perSecond(*notice.perSecond);
    wireStruct.saidAt = toMicroseconds(notice.saidAt.time_since_epoch());
    return wireStruct;
}

fleet::limit_notice fromWire(const wire::limit_notice& wireStruct)
{
    fleet::limit_notice notice { wireStruct.server, std::nullopt, toFleetTime(wireStruct.saidAt) };
    if (!wireStruct.__isset.perSecond)
        return notice;
    if (!std::isfinite(wireStruct.perSecond) || wireStruct.perSecond < 0)
        throw range_error("limit out of range");
    notice.perSecond = wireStruct.perSecond;
    return notice;
}

wire::crash_report toWire(const fleet::crash_report& report)
{
    wire::crash_report wireStruct;
    wireStruct.digest = packDigest(report.request);
    if (report.anyQuery != fleet::request_digest {})
        wireStruct.__set_digestAnyQuery(packDigest(report.anyQuery));
    for (const auto& crash : report.crashes) {
        auto& added = wireStruct.crashes.emplace_back();
        added.server = crash.server;
        added.startedAt = toMicroseconds(crash.startedAt.time_since_epoch());
        added.endedAt = toMicroseconds(crash.endedAt.time_since_epoch());
        if (crash.isShared)
            added.__set_shared(true);
    }
    if (report.answeredAt)
        wireStruct.__set_answeredAt(toMicroseconds(report.answeredAt->time_since_epoch()));
    wireStruct.lastSeenAt = toMicroseconds(report.lastSeenAt.time_since_epoch());
    return wireStruct;
}

fleet::crash_report fromWire(const wire::crash_report& wireStruct)
{
    fleet::crash_report report;
    report.request = unpackDigest(wireStruct.digest);
    if (wireStruct.__isset.digestAnyQuery)
        report.anyQuery = unpackDigest(wireStruct.digestAnyQuery);
    for (const auto& crash : wireStruct.crashes)
        report.crashes.push_back({ crash.server, toFleetTime(crash.startedAt), toFleetTime(crash.endedAt),
            crash.__isset.shared && crash.shared });
    if (wireStruct.__isset.answeredAt)
        report.answeredAt = toFleetTime(wireStruct.answeredAt);
    report.lastSeenAt = toFleetTime(wireStruct.lastSeenAt);
    return report;
}

wire::class_demand toWire(const fleet::class_demand& demand)
{
    wire::class_demand wireStruct;
    wireStruct.serviceName = demand.service;
    wireStruct.priority = toSigned(demand.priority);
    wireStruct.objective = toMicroseconds(demand.objective);
    wireStruct.perSecond = demand.perSecond;
    wireStruct.work = toMicroseconds(demand.work);
    return wireStruct;
}

fleet::class_demand fromWire(const wire::class_demand& wireStruct)
{
    if (!std::isfinite(wireStruct.perSecond) || wireStruct.perSecond < 0 || wireStruct.work < 0)
        throw range_error("demand out of range");
    return { wireStruct.serviceName, toUnsigned(wireStruct.priority), toDuration(wireStruct.objective),
        wireStruct.perSecond, toDuration(wireStruct.work) };
}

wire::allowance_report toWire(const fleet::allowance_report& report)
{
    wire::allowance_report wireStruct;
    wireStruct.team = std::bit_cast<std::int64_t>(report.team);
    wireStruct.admitted = static_cast<std::int64_t>(report.admitted);
    wireStruct.refused = static_cast<std::int64_t>(report.refused);
    wireStruct.newlyAdmitted = toSigned(report.newlyAdmitted);
    wireStruct.newlyRefused = toSigned(report.newlyRefused);
    if (report.keeper) {
        wireStruct.__set_level(report.keeper->level);
        wireStruct.__set_demand(report.keeper->demand);
        wireStruct.__set_knownFor(toMicroseconds(report.keeper->knownFor));
    }
    return wireStruct;
}

fleet::allowance_report fromWire(const wire::allowance_report& wireStruct)
{
    fleet::allowance_report report;
    report.team = std::bit_cast<std::uint64_t>(wireStruct.team);
    report.admitted = checked<std::uint64_t>(wireStruct.admitted);
    report.refused = checked<std::uint64_t>(wireStruct.refused);
    report.newlyAdmitted = toUnsigned(wireStruct.newlyAdmitted);
    report.newlyRefused = toUnsigned(wireStruct.newlyRefused);
    if (wireStruct.__isset.level && wireStruct.__isset.demand && wireStruct.__isset.knownFor)
        report.keeper = { checkedAmount(wireStruct.level, -maxReportedAmount), checkedAmount(wireStruct.demand, 0),
            toAge(wireStruct.knownFor) };
    return report;
}

wire::allowance_notice toWire(const fleet::allowance_notice& notice)
{
    wire::allowance_notice wireStruct;
    wireStruct.team = std::bit_cast<std::int64_t>(notice.team);
    wireStruct.ratio = notice.ratio;
    wireStruct.retryAfter = toMicroseconds(notice.retryAfter);
    wireStruct.knownFor = toMicroseconds(notice.knownFor);
    return wireStruct;
}

fleet::allowance_notice fromWire(const wire::allowance_notice& wireStruct)
{
    if (!std::isfinite(wireStruct.ratio) || wireStruct.ratio < 0 || wireStruct.ratio > 1)
        throw range_error("ratio out of range");
    return { std::bit_cast<std::uint64_t>(wireStruct.team), wireStruct.ratio, toDuration(wireStruct.retryAfter),
        toAge(wireStruct.knownFor) };
}

} // namespace acaciaslip::protocol::gateway_codec
