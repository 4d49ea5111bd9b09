#pragma once

#include "transport/loop/tcp_stream.hpp"

#include <functional>
#include <string>

namespace acaciaslip::transport::loop {

/// A listening socket of a loop.
class tcp_listener {
public:
    /// \param announced called for each new connection with what `tcp_stream::accept` takes
    tcp_listener(uv_loop_t* loop, std::function<void(uv_stream_t*)> announced);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    /// \param address "ip:port"; port 0 lets the system choose
    [[nodiscard]] absl::Status listen(const std::string& address);

    /// The port that it listens on.
    [[nodiscard]] int port() const;

    void close();

private:
    uv_tcp_t* m_handle;
    std::function<void(uv_stream_t*)> m_announced;
};

} // namespace acaciaslip::transport::loop
