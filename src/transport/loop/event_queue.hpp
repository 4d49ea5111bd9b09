#pragma once

#include <deque>
#include <functional>
#include <utility>

namespace acaciaslip::transport::loop {

/// Passes events to a handler one at a time. Events posted by the handler are queued until it has returned.
template <typename Event> class event_queue {
public:
    /// \param handle processes one event
    /// \param emptied called when the queue is empty again
    event_queue(std::function<void(const Event&)> handle, std::function<void()> emptied)
        : m_handle(std::move(handle))
        , m_emptied(std::move(emptied))
    {
    }

    void post(Event event)
    {
        m_queued.push_back(std::move(event));
        if (std::exchange(m_handling, true))
            return;
        while (!m_queued.empty()) {
            const auto next = std::move(m_queued.front());
            m_queued.pop_front();
            m_handle(next);
        }
        m_emptied();
        m_handling = false;
    }

private:
    std::function<void(const Event&)> m_handle;
    std::function<void()> m_emptied;
    std::deque<Event> m_queued;
    bool m_handling = false;
};

} // namespace acaciaslip::transport::loop
