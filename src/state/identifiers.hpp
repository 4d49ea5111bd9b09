#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace acaciaslip::state {

/// Name of a host (entry or server), as the platform lists it.
using host_id = std::string;
/// Name of a data centre, as the platform lists it.
using data_centre_id = std::string;
/// Key of a published value, for example "acaciaslip/teams/kierdicht".
using value_key = std::string;
/// Revision of a published value; rises with every change, 0 means never seen.
using revision = std::uint64_t;

/// Position of a service in the node's service table; stable for the life of the process.
using service_index = std::uint32_t;
/// Position of a server in the node's server table; stable for the life of the process.
using server_index = std::uint32_t;

/// Number of a request within one process.
enum class request_id : std::uint64_t {};
/// Number of an attempt within one process.
enum class attempt_id : std::uint64_t {};

/// A service, by its team and its name in that team.
struct service_name {
    std::string team;
    std::string name;

    // The linter takes the generated comparison with zero for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    [[nodiscard]] friend auto operator<=>(const service_name&, const service_name&) = default;

    /// Lets absl's hash tables key on a service name.
    template <typename Hash>
    friend Hash AbslHashValue(Hash hash, const service_name& name) // NOLINT(readability-identifier-naming)
    {
        return Hash::combine(std::move(hash), name.team, name.name);
    }
};

} // namespace acaciaslip::state
