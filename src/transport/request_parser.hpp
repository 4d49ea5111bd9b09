#pragma once

#include <optional>
#include <string>

#include <httplib.h>

namespace acaciaslip::transport {

/// Has httplib read the head of a request that has passed protocol::readRequestHead().
class request_parser final : private httplib::Server {
public:
    /// \param checked request_head::checked
    /// \return the request without a body, or nothing when the library refuses it
    [[nodiscard]] std::optional<httplib::Request> parse(const std::string& checked);
};

} // namespace acaciaslip::transport
