#pragma once

#include "transport/loop/tcp_stream.hpp"

#include <functional>
#include <string>

namespace acaciaslip::transport::loop {

/// A listening TCP socket on an event loop.
class tcp_listener {
public:
    /// \param onConnection called for each new connection with the handle to pass to `tcp_stream::accept`
    tcp_listener(uv_loop_t* loop, std::function<void(uv_stream_t*)> onConnection);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    /// \param address "ip:port"; port 0 lets the system choose a free port
    /// \return an error if the address is malformed or cannot be bound
    [[nodiscard]] absl::Status listen(const std::string& address);

    /// Returns the bound port, or 0 if the listener is not bound.
    [[nodiscard]] int port() const;

    void close();

private:
    uv_tcp_t* m_handle;
    std::function<void(uv_stream_t*)> m_onConnection;
};

} // namespace acaciaslip::transport::loop
