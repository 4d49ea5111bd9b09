#include "coordination/message_size.hpp"

#include <bit>
#include <string_view>

namespace acaciaslip::coordination {

namespace {

constexpr std::size_t versionBytes = 1;
constexpr std::size_t fieldHeaderBytes = 1;
constexpr std::size_t structEndBytes = 1;
constexpr std::size_t listHeaderBytes = fieldHeaderBytes + 3; ///< element type and a length of up to 14 bits
constexpr int groupBits = 7;

constexpr std::size_t unsignedSize(std::uint64_t value) noexcept
{
    return static_cast<std::size_t>((std::bit_width(value | 1U) + groupBits - 1) / groupBits);
}

/// Encoded size of a signed integer in zigzag encoding, which moves the sign to the lowest bit.
constexpr std::size_t signedSize(std::int64_t value) noexcept
{
    const auto bits = static_cast<std::uint64_t>(value);
    return unsignedSize((bits << 1U) ^ (value < 0 ? ~std::uint64_t { 0 } : 0));
}

constexpr std::size_t signedSize(std::uint64_t value) noexcept
{
    return signedSize(static_cast<std::int64_t>(value));
}

constexpr std::size_t shortSignedSize(std::uint32_t value) noexcept
{
    return signedSize(std::int64_t { static_cast<std::int32_t>(value) });
}

std::size_t stringFieldSize(std::string_view text) noexcept
{
    return fieldHeaderBytes + unsignedSize(text.size()) + text.size();
}

template <typename List, typename Size> std::size_t listSize(const List& list, Size sizeOf) noexcept
{
    std::size_t bytes = list.empty() ? 0 : listHeaderBytes;
    for (const auto& entry : list)
        bytes += sizeOf(entry);
    return bytes;
}

} // namespace

std::size_t boundLoadSize(const state::load_delta& load) noexcept
{
    return shortSignedSize(load.server) + shortSignedSize(load.inFlight);
}

std::size_t boundConditionSize(const state::condition_change& change) noexcept
{
    return stringFieldSize(change.server) + fieldHeaderBytes + 1 + fieldHeaderBytes + shortSignedSize(change.limit)
        + stringFieldSize(change.bootId) + fieldHeaderBytes + signedSize(change.epoch) + fieldHeaderBytes + 1
        + structEndBytes;
}

std::size_t boundRevisionSize(const state::value_revision& known) noexcept
{
    return stringFieldSize(known.key) + fieldHeaderBytes + signedSize(known.number) + structEndBytes;
}

std::size_t boundIntroductionSize(const state::introduced_host& host) noexcept
{
    return stringFieldSize(host.id) + stringFieldSize(host.address) + stringFieldSize(host.dataCentre) + structEndBytes;
}

std::size_t boundMessageSize(const state::peer_message& message) noexcept
{
    std::size_t bytes = versionBytes + stringFieldSize(message.sender);
    for (const auto number : { message.incarnation, message.sequence, message.queryId, message.queryReplyTo,
             message.echoIncarnation, message.echoSequence })
        bytes += number == 0 ? 0 : fieldHeaderBytes + signedSize(number);
    bytes += message.leaving ? fieldHeaderBytes : 0;
    bytes += message.loads.empty() ? 0 : listHeaderBytes;
    bytes += listSize(message.loads, boundLoadSize);
    bytes += listSize(message.conditions, boundConditionSize);
    bytes += listSize(message.revisions, boundRevisionSize);
    bytes += listSize(message.introduced, boundIntroductionSize);
    return bytes + structEndBytes;
}

} // namespace acaciaslip::coordination
