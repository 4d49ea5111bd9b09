#include "transport/loop/signal_handler.hpp"

#include <utility>

namespace acaciaslip::transport::loop {

signal_handler::signal_handler(uv_loop_t* loop, std::initializer_list<int> numbers, std::function<void(int)> callback)
    : m_callback(std::move(callback))
{
    for (const int number : numbers) {
        auto* const handle = new uv_signal_t {};
        uv_signal_init(loop, handle);
        handle->data = this;
        uv_signal_start(
            handle,
            [](uv_signal_t* signal, int received) { static_cast<signal_handler*>(signal->data)->m_callback(received); },
            number);
        m_handles.push_back(handle);
    }
}

signal_handler::~signal_handler()
{
    close();
}

void signal_handler::close()
{
    for (auto* const handle : std::exchange(m_handles, {}))
        uv_close(reinterpret_cast<uv_handle_t*>(handle),
            [](uv_handle_t* closed) { delete reinterpret_cast<uv_signal_t*>(closed); });
}

} // namespace acaciaslip::transport::loop
