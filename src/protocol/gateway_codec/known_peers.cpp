#include "protocol/gateway_codec/known_peers.hpp"

#include "protocol/gateway_codec/numbers.hpp"

#include <algorithm>
#include <array>
#include <limits>

#include <arpa/inet.h>

namespace acaciaslip::protocol::gateway_codec {

namespace fleet = state::gateway;

namespace {

constexpr state::duration ageUnit = std::chrono::milliseconds { 100 };
constexpr state::duration maxAge = ageUnit * std::numeric_limits<std::int16_t>::max();
constexpr std::size_t packedPeerBytes = 7;

/// Returns the index of a name in a list; appends the name if the list does not contain it.
std::int8_t findOrAppend(std::vector<std::string>& names, const std::string& name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    const auto index = found - names.begin();
    if (found == names.end())
        names.push_back(name);
    if (index > std::numeric_limits<std::int8_t>::max())
        throw range_error("too many data centres");
    return static_cast<std::int8_t>(index);
}

/// Formats an IPv4 address.
/// \param address in host byte order
std::string formatIp(std::uint32_t address)
{
    std::array<char, INET_ADDRSTRLEN> ip {};
    const in_addr network { htonl(address) };
    inet_ntop(AF_INET, &network, ip.data(), ip.size());
    return ip.data();
}

} // namespace

fleet::known_peer makePeer(
    std::uint32_t ip, std::int8_t dataCentre, std::int32_t age, const std::vector<std::string>& dataCentres)
{
    if (age < 0 || dataCentre < 0 || static_cast<std::size_t>(dataCentre) >= dataCentres.size())
        throw range_error("age or data centre index of a peer out of range");
    return { formatIp(ip), dataCentres[static_cast<std::size_t>(dataCentre)], age * ageUnit };
}

std::string packPeers(const std::vector<fleet::known_peer>& peers, std::vector<std::string>& dataCentres)
{
    std::string packed;
    packed.reserve(peers.size() * packedPeerBytes);
    for (const auto& peer : peers) {
        in_addr address {};
        if (inet_pton(AF_INET, peer.ip.c_str(), &address) != 1)
            continue; // not an IPv4 address
        append(packed, static_cast<std::uint32_t>(ntohl(address.s_addr)));
        append(packed, static_cast<std::uint8_t>(findOrAppend(dataCentres, peer.dataCentre)));
        append(packed, static_cast<std::uint16_t>(std::min<state::duration>(peer.age, maxAge) / ageUnit));
    }
    return packed;
}

void unpackPeers(
    std::string_view packed, const std::vector<std::string>& dataCentres, std::vector<fleet::known_peer>& peers)
{
    if (packed.size() % packedPeerBytes != 0)
        throw range_error("packed peers end early");
    for (std::size_t at = 0; at < packed.size(); at += packedPeerBytes) {
        const auto dataCentre = readNumber<std::uint8_t>(packed, at + sizeof(std::uint32_t));
        peers.push_back(makePeer(readNumber<std::uint32_t>(packed, at), static_cast<std::int8_t>(dataCentre),
            readNumber<std::uint16_t>(packed, at + sizeof(std::uint32_t) + 1), dataCentres));
    }
}

} // namespace acaciaslip::protocol::gateway_codec
