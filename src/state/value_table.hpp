#pragma once

#include "state/enum_names.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <array>
#include <map>
#include <optional>
#include <string>

namespace acaciaslip::state {

/// Where a published value was read from.
enum class value_source { platform, peer };

inline constexpr std::array<enum_name<value_source>, 2> valueSourceNames { {
    { value_source::platform, "platform" },
    { value_source::peer, "peer" },
} };

/// One revision of a published value.
struct published_value {
    revision number = 0;
    std::string body;
    value_source source = value_source::platform;
    time_point receivedAt;
};

/// A published value: the active revision and the newest rejected one.
struct value_record {
    published_value active; ///< active revision; number 0: none yet
    std::optional<published_value> rejected; ///< newer than `active`, but failed validation
    std::string rejectionReason; ///< validation error of `rejected`
};

/// All published values known to this node, by key.
using value_table = std::map<value_key, value_record>;

} // namespace acaciaslip::state
