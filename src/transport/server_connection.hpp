#pragma once

#include "coordination/effects.hpp"
#include "transport/address.hpp"
#include "transport/answer_stream.hpp"
#include "transport/exchange.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include <httplib.h>

namespace acaciaslip::transport {

/// How one exchange on a connection ended.
struct exchange_result {
    state::attempt_outcome outcome = state::attempt_outcome::connect_failed;
    std::shared_ptr<server_answer> answer; ///< set when a whole answer with the right id came
    bool poisoned = true; ///< the connection must not be used again
};

/// One kept-alive HTTP connection to a server that knows whether a byte was written.
///
/// httplib writes the request and reads the answer's head; the socket is held here, so that an exchange may be
/// aborted from another thread and no descriptor is too high for select().
class server_connection final : private httplib::ClientImpl {
public:
    server_connection(std::string name, address server);
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;
    ~server_connection() override;

    /// Sends a request and reads its whole answer; connects first when it is not connected.
    /// \param attemptId that the answer must echo
    /// \param mayWrite asked immediately before the first byte
    /// \param deadline of all of it
    [[nodiscard]] exchange_result exchange(const transport::exchange& original, const std::string& attemptId,
        const std::function<bool()>& mayWrite, state::time_point deadline, const protocol::message_limits& limits);

    /// Ends a running exchange, and every later one. Safe from any thread.
    void abort();

    /// Whether the connection is open with nothing unread on it.
    [[nodiscard]] bool isReusable() const;

    /// The address that it was opened for.
    [[nodiscard]] const std::string& name() const noexcept { return m_name; }

private:
    bool create_and_connect_socket(Socket& socket, httplib::Error& error) override;
    bool process_socket(const Socket& socket, std::function<bool(httplib::Stream&)> callback) override;
    [[nodiscard]] bool connect(state::time_point deadline);
    [[nodiscard]] bool open();

    std::string m_name;
    address m_server;
    std::mutex m_mutex; ///< guards the socket against abort()
    int m_socket = -1;
    std::atomic<bool> m_aborted = false;
    answer_stream* m_stream = nullptr; ///< of the running exchange
};

} // namespace acaciaslip::transport
