#pragma once

#include "transport/loop/tcp_listener.hpp"
#include "transport/loop/tcp_stream.hpp"

#include <memory>
#include <string>
#include <unordered_set>

namespace acaciaslip::soak {

/// What a proxy does with the bytes that it carries.
enum class proxy_fault {
    none,
    delay, ///< each piece waits
    reset, ///< every connection is closed at once
    silence, ///< nothing passes in either direction, nothing is closed
    one_way, ///< what comes back does not pass
};

/// A loopback proxy in front of one address.
class fault_proxy {
public:
    fault_proxy(uv_loop_t* loop, std::string target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    [[nodiscard]] std::string address() const;
    void setFault(proxy_fault fault);

private:
    struct pair;
    void accept(uv_stream_t* listener);
    void pass(const std::shared_ptr<pair>& through, bool forward, std::string bytes);

    uv_loop_t* m_loop;
    std::string m_target;
    transport::loop::tcp_listener m_listener;
    proxy_fault m_fault = proxy_fault::none;
    std::unordered_set<std::shared_ptr<pair>> m_pairs;
};

} // namespace acaciaslip::soak
