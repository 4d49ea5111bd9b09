#pragma once

#include <functional>
#include <initializer_list>
#include <vector>

#include <uv.h>

namespace acaciaslip::transport::loop {

/// Runs a callback on the loop's thread when the process receives one of the given signals.
class signal_handler {
public:
    signal_handler(uv_loop_t* loop, std::initializer_list<int> numbers, std::function<void(int)> callback);
    ~signal_handler();
    signal_handler(const signal_handler&) = delete;
    signal_handler& operator=(const signal_handler&) = delete;

    /// Stops handling the signals; the callback is not called any more.
    void close();

private:
    std::vector<uv_signal_t*> m_handles;
    std::function<void(int)> m_callback;
};

} // namespace acaciaslip::transport::loop
