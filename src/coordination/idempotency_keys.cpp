#include "coordination/idempotency_keys.hpp"

#include <xxhash.h>

namespace acaciaslip::coordination {

namespace {

constexpr std::size_t maxStoredLength = 128; ///< bytes; longer keys are stored as a digest

std::string digestOf(std::string_view key)
{
    const auto hash = XXH3_128bits(key.data(), key.size());
    return "digest:" + std::to_string(hash.high64) + ':' + std::to_string(hash.low64);
}

} // namespace

std::string scopedKey(state::service_index service, std::string_view key)
{
    return std::to_string(service) + '/' + (key.size() > maxStoredLength ? digestOf(key) : std::string(key));
}

bool claimKey(state::request_table& table, const std::string& key, state::request_id request)
{
    return table.idempotencyKeys.try_emplace(key, state::idempotency_key_use { request, 1 }).second;
}

void addKeyHolder(state::request_table& table, const std::string& key)
{
    if (const auto found = table.idempotencyKeys.find(key); found != table.idempotencyKeys.end())
        ++found->second.references;
}

void releaseKey(state::request_table& table, const std::string& key)
{
    if (const auto found = table.idempotencyKeys.find(key);
        found != table.idempotencyKeys.end() && --found->second.references == 0)
        table.idempotencyKeys.erase(found);
}

} // namespace acaciaslip::coordination
