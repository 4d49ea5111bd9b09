#pragma once

#include <string>
#include <vector>

#include <httplib.h>

namespace acaciaslip::standins {

/// Properties that all requests of a run share.
struct request_shape {
    std::string path = "/";
    std::string method = "GET";
    bool keys = false; ///< send a unique Idempotency-Key with each request
};

/// An HTTP client with one keep-alive connection to "ip:port".
class load_client {
public:
    explicit load_client(const std::string& target);

    /// Sends one request and waits for its answer.
    /// \param key value of the Idempotency-Key header, used only when request_shape::keys is set
    /// \return "status verdict", with "-" for a missing verdict, or "no_answer" when the request failed
    [[nodiscard]] std::string send(const request_shape& shape, const std::string& key);

private:
    httplib::Client m_client;
};

/// Returns the quantile of the values for a share from 0 to 1, 0 when there are none.
/// \param sorted values in ascending order
[[nodiscard]] double quantile(const std::vector<double>& sorted, double share);

} // namespace acaciaslip::standins
