#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace acaciaslip::state {

/// Name of an entry host or server host in the platform's host list.
using host_id = std::string;
/// Name of a data centre in the platform's host list.
using data_centre_id = std::string;
/// Key of a published value, for example "acaciaslip/teams/kierdicht".
using value_key = std::string;
/// Revision of a published value. It increases with every change; 0 means that no revision is known.
using revision = std::uint64_t;

/// A store that is restored from a copy begins a new era and counts on from the copy's revision. Revisions of a later
/// era are higher, since the era is a part of them.
inline constexpr revision revisionsPerEra = 1'000'000'000'000;

[[nodiscard]] constexpr revision eraOf(revision number) noexcept
{
    return number / revisionsPerEra;
}

/// Index of a service in the node's service table, stable for the life of the process.
using service_index = std::uint32_t;
/// Index of a server in the node's server table, stable for the life of the process.
using server_index = std::uint32_t;

/// Identifies a request within one process.
enum class request_id : std::uint64_t {};
/// Identifies an attempt within one process.
enum class attempt_id : std::uint64_t {};

/// Identifies a service by its team and its name within that team.
struct service_name {
    std::string team;
    std::string name;

    // False positive: the check reports the generated comparison with zero as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    [[nodiscard]] friend auto operator<=>(const service_name&, const service_name&) = default;

    /// Makes service names usable as keys of absl hash tables.
    template <typename Hash>
    friend Hash AbslHashValue(Hash hash, const service_name& name) // NOLINT(readability-identifier-naming)
    {
        return Hash::combine(std::move(hash), name.team, name.name);
    }
};

} // namespace acaciaslip::state
