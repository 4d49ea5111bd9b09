#pragma once

#include "coordination/effects.hpp"

#include <atomic>
#include <functional>
#include <string>

#include <httplib.h>

namespace acaciaslip::transport {

/// How one exchange on a connection ended.
struct exchange_result {
    state::attempt_outcome outcome = state::attempt_outcome::connect_failed;
    httplib::Response response;
    bool poisoned = true; ///< the connection must not be used again
};

/// One kept-alive HTTP connection to a server that knows whether a byte was written.
class server_connection final : private httplib::ClientImpl {
public:
    server_connection(std::string name, const std::string& ip, int port);

    /// Sends a request and reads its whole answer.
    /// \param mayWrite asked immediately before the first byte
    /// \param budget the longest time for all of it
    [[nodiscard]] exchange_result exchange(httplib::Request& request, const std::string& attemptId,
        const std::function<bool()>& mayWrite, state::duration budget);

    /// Whether the connection is open with nothing unread on it.
    [[nodiscard]] bool isReusable() const;

    /// The address that it was opened for.
    [[nodiscard]] const std::string& name() const noexcept { return m_name; }

private:
    bool process_socket(const Socket& socket, std::function<bool(httplib::Stream&)> callback) override;

    std::string m_name;
    const std::function<bool()>* m_mayWrite = nullptr;
    bool m_expired = false;
    bool m_wrote = false;
    bool m_timedOut = false;
    bool m_unread = false; ///< bytes came after the whole answer
    state::time_point m_deadline;
};

} // namespace acaciaslip::transport
