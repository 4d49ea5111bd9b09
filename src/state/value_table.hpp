#pragma once

#include "state/enum_names.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <array>
#include <map>
#include <optional>
#include <string>

namespace acaciaslip::state {

/// Where a value was read.
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

/// A published value: what is in force and what was refused.
struct value_record {
    published_value inForce; ///< number 0: none yet
    std::optional<published_value> refused; ///< newer than inForce and not valid
    std::string refusedBecause;
};

/// All published values that this node knows, by key.
using value_table = std::map<value_key, value_record>;

} // namespace acaciaslip::state
