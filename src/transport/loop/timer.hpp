#pragma once

#include "state/time.hpp"

#include <functional>

#include <uv.h>

namespace acaciaslip::transport::loop {

/// A timer on an event loop. Fires once per call of `start`.
class timer {
public:
    timer(uv_loop_t* loop, std::function<void()> callback);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// Fires after the delay, rounded up to whole milliseconds. Replaces a pending start; a negative delay counts as 0.
    void start(state::duration delay);
    void stop();

private:
    struct handle;
    handle* m_handle; ///< deleted when the loop has closed it
};

} // namespace acaciaslip::transport::loop
