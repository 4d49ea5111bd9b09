#pragma once

#include <string>
#include <vector>

#include <httplib.h>

namespace acaciaslip::standins {

/// What every request of a run is like.
struct request_shape {
    std::string path = "/";
    std::string method = "GET";
    bool keys = false; ///< give each request its own Idempotency-Key
};

/// One kept-alive connection to "ip:port".
class load_client {
public:
    explicit load_client(const std::string& target);

    /// Sends one request and waits for its answer.
    /// \param key of the request, when the shape wants keys
    /// \return "status verdict", or "no_answer"
    [[nodiscard]] std::string send(const request_shape& shape, const std::string& key);

private:
    httplib::Client m_client;
};

/// The value that a share of all values does not exceed. \param sorted in rising order
[[nodiscard]] double quantile(const std::vector<double>& sorted, double share);

} // namespace acaciaslip::standins
