#pragma once

#include <deque>
#include <functional>
#include <utility>

namespace acaciaslip::transport::loop {

/// Hands events to a handler one after the other. Those that the handler causes wait until it has returned.
template <typename Event> class event_queue {
public:
    /// \param handle takes one event
    /// \param emptied called when the last one has been handled
    event_queue(std::function<void(const Event&)> handle, std::function<void()> emptied)
        : m_handle(std::move(handle))
        , m_emptied(std::move(emptied))
    {
    }

    void post(Event happened)
    {
        m_waiting.push_back(std::move(happened));
        if (std::exchange(m_handling, true))
            return;
        while (!m_waiting.empty()) {
            const auto next = std::move(m_waiting.front());
            m_waiting.pop_front();
            m_handle(next);
        }
        m_emptied();
        m_handling = false;
    }

private:
    std::function<void(const Event&)> m_handle;
    std::function<void()> m_emptied;
    std::deque<Event> m_waiting;
    bool m_handling = false;
};

} // namespace acaciaslip::transport::loop
