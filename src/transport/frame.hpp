#pragma once

#include "state/time.hpp"

#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <thrift/transport/TTransport.h>

namespace acaciaslip::transport {

/// Reads one frame: four bytes of length, then the payload.
/// \param limit of the payload, in bytes
/// \param deadline after which a slow sender is given up
[[nodiscard]] absl::StatusOr<std::string> readFrame(
    apache::thrift::transport::TTransport& connection, std::size_t limit, state::time_point deadline);

/// Writes one frame.
[[nodiscard]] absl::Status writeFrame(apache::thrift::transport::TTransport& connection, std::string_view payload);

} // namespace acaciaslip::transport
