#include "protocol/request_digest.hpp"

#include <array>
#include <memory>

#include <xxhash.h>

namespace acaciaslip::protocol {

namespace {

/// Headers that tell callers apart, so that one caller's request never counts as another's.
constexpr std::array<std::string_view, 3> credentialHeaders { "Authorization", "Proxy-Authorization", "Cookie" };

/// Hashes a part together with its length, so that moving bytes between adjacent parts changes the digest.
void append(XXH3_state_t& state, std::string_view part)
{
    const std::uint64_t size = part.size();
    XXH3_128bits_update(&state, &size, sizeof size);
    XXH3_128bits_update(&state, part.data(), part.size());
}

} // namespace

state::gateway::request_digest computeDigest(const http::message& request)
{
    const std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t*)> owned { XXH3_createState(), XXH3_freeState };
    auto& state = *owned;
    XXH3_128bits_reset(&state);
    append(state, request.method);
    append(state, http::findHeader(request, "Host").value_or(""));
    append(state, request.target);
    for (const auto name : credentialHeaders)
        append(state, http::findHeader(request, name).value_or(""));
    append(state, request.body);
    const auto hash = XXH3_128bits_digest(&state);
    return { hash.high64, hash.low64 };
}

} // namespace acaciaslip::protocol
