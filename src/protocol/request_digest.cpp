#include "protocol/request_digest.hpp"

#include <algorithm>
#include <array>
#include <memory>

#include <xxhash.h>

namespace acaciaslip::protocol {

namespace {

/// Headers that tell callers apart, so that one caller's request never counts as another's. Servers receive the
/// User-Agent unchanged, and some crash for one client program alone.
constexpr std::array<std::string_view, 4> standardCallerHeaders { "Authorization", "Proxy-Authorization", "Cookie",
    "User-Agent" };

/// Hashes a part together with its length, so that moving bytes between adjacent parts changes the digest.
void append(XXH3_state_t& state, std::string_view part)
{
    const std::uint64_t size = part.size();
    XXH3_128bits_update(&state, &size, sizeof size);
    XXH3_128bits_update(&state, part.data(), part.size());
}

state::gateway::request_digest currentDigest(const XXH3_state_t& state)
{
    const auto hash = XXH3_128bits_digest(&state);
    return { hash.high64, hash.low64 };
}

} // namespace

state::gateway::request_digests computeDigests(
    const http::message& request, std::span<const std::string_view> callerHeaders)
{
    const std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t*)> owned { XXH3_createState(), XXH3_freeState };
    auto& state = *owned;
    XXH3_128bits_reset(&state);
    append(state, request.method);
    append(state, http::findHeader(request, "Host").value_or(""));
    const std::string_view target = request.target;
    const auto queryAt = std::min(target.find('?'), target.size());
    append(state, target.substr(0, queryAt));
    bool isDistinct = !request.body.empty();
    const auto appendCaller = [&](std::string_view name) {
        const auto value = name.empty() ? std::nullopt : http::findHeader(request, name);
        append(state, value.value_or(""));
        isDistinct = isDistinct || value;
    };
    std::for_each(standardCallerHeaders.begin(), standardCallerHeaders.end(), appendCaller);
    std::for_each(callerHeaders.begin(), callerHeaders.end(), appendCaller);
    append(state, request.body);
    state::gateway::request_digests digests;
    if (isDistinct)
        digests.anyQuery = currentDigest(state);
    append(state, target.substr(queryAt)); // last, so that the body is hashed once for both digests
    digests.exact = currentDigest(state);
    return digests;
}

} // namespace acaciaslip::protocol
