#pragma once

#include "transport/loop/tcp_listener.hpp"
#include "transport/loop/tcp_stream.hpp"

#include <memory>
#include <string>
#include <unordered_set>

namespace acaciaslip::soak {

/// The fault that a proxy injects into its connections.
enum class proxy_fault {
    none, ///< forwards everything immediately
    delay, ///< forwards each chunk after a fixed delay
    reset, ///< closes every connection immediately
    blackhole, ///< drops the bytes of both directions and keeps the connections open
    drop_responses, ///< drops the bytes sent by the target only
};

/// A TCP proxy on the loopback interface that forwards to one target address and injects faults.
class fault_proxy {
public:
    fault_proxy(uv_loop_t* loop, std::string target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    [[nodiscard]] std::string address() const;
    /// Sets the fault for all connections, open and new.
    void setFault(proxy_fault fault);

private:
    struct proxied_connection;
    void accept(uv_stream_t* listener);
    void relay(const std::shared_ptr<proxied_connection>& connection, bool forward, std::string bytes);

    uv_loop_t* m_loop;
    std::string m_target;
    transport::loop::tcp_listener m_listener;
    proxy_fault m_fault = proxy_fault::none;
    std::unordered_set<std::shared_ptr<proxied_connection>> m_connections;
};

} // namespace acaciaslip::soak
