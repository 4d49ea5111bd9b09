#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace acaciaslip {

/// Returns the quantile of the values for a share from 0 to 1, and reorders the values.
/// \return 0 when there are none
[[nodiscard]] inline double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    const auto position = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

} // namespace acaciaslip
