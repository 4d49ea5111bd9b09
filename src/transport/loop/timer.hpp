#pragma once

#include "state/time.hpp"

#include <functional>

#include <uv.h>

namespace acaciaslip::transport::loop {

/// One timer of a loop. Fires once for each start.
class timer {
public:
    timer(uv_loop_t* loop, std::function<void()> callback);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// Fires after the span, rounded up to milliseconds; replaces an earlier start.
    void start(state::duration span);
    void stop();

private:
    struct handle;
    handle* m_handle; ///< lives until the loop has closed it
};

} // namespace acaciaslip::transport::loop
