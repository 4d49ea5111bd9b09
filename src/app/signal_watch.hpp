#pragma once

#include <csignal>
#include <functional>
#include <thread>

namespace acaciaslip::app {

/// A thread that waits for SIGTERM and SIGINT.
///
/// To be made before any other thread, so that the signals are blocked in all of them.
class signal_watch {
public:
    /// Blocks the signals in this thread and in all that it starts from here on.
    signal_watch();
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;

    /// Ends the thread. The signals stay blocked: a second one must not kill a process that is about to exit.
    ~signal_watch();

    /// Starts to wait.
    /// \param callback runs on the watch's thread for every signal
    void start(std::function<void(int)> callback);

    /// Ends the thread. Safe to call twice.
    void stop();

private:
    sigset_t m_signals {};
    std::jthread m_thread;
};

} // namespace acaciaslip::app
