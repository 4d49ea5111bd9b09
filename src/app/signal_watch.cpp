#include "app/signal_watch.hpp"

#include <ctime>
#include <utility>

#include <pthread.h>

namespace acaciaslip::app {

namespace {

constexpr timespec pollInterval { 0, 100'000'000 };

} // namespace

signal_watch::signal_watch()
{
    sigemptyset(&m_signals);
    sigaddset(&m_signals, SIGTERM);
    sigaddset(&m_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
}

signal_watch::~signal_watch()
{
    stop();
}

void signal_watch::start(std::function<void(int)> callback)
{
    m_thread = std::jthread([this, callback = std::move(callback)](const std::stop_token& stopping) {
        while (!stopping.stop_requested()) {
            const int number = sigtimedwait(&m_signals, nullptr, &pollInterval);
            if (number > 0)
                callback(number);
        }
    });
    pthread_setname_np(m_thread.native_handle(), "signals");
}

void signal_watch::stop()
{
    m_thread.request_stop();
    if (m_thread.joinable())
        m_thread.join();
}

} // namespace acaciaslip::app
