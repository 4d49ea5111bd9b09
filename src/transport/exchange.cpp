#include "transport/exchange.hpp"

#include <algorithm>
#include <array>

#include <strings.h>

namespace acaciaslip::transport {

bool isHopByHop(const std::string& name)
{
    static constexpr std::array<const char*, 9> names { "Connection", "Keep-Alive", "Proxy-Authenticate",
        "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade" };
    return std::any_of(
        names.begin(), names.end(), [&](const char* known) { return strcasecmp(known, name.c_str()) == 0; });
}

} // namespace acaciaslip::transport
