#pragma once

#include "coordination/events.hpp"

#include <functional>

namespace acaciaslip::transport {

/// Hands events to whoever decides.
struct event_sink {
    /// Waits while there is no room. Not for the thread that takes the events.
    std::function<void(coordination::event&&)> post;
    /// \return false when there is no room
    std::function<bool(coordination::event&&)> tryPost;
};

} // namespace acaciaslip::transport
