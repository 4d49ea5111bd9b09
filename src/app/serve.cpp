#include "app/serve.hpp"

#include "protocol/node_settings_reader.hpp"
#include "transport/daemon.hpp"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

#include <fmt/format.h>

namespace acaciaslip::app {

namespace {

constexpr int exitSaidNo = 1;

int sayNo(const absl::Status& status)
{
    fmt::print(stderr, "acaciaslip: {}\n", std::string(status.message()));
    return exitSaidNo;
}

/// Blocks the stop signals in every thread that is started from here on.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

} // namespace

int serve(const std::string& settingsFile)
{
    std::ifstream file(settingsFile);
    if (!file)
        return sayNo(absl::NotFoundError(fmt::format("cannot read {}", settingsFile)));
    std::stringstream text;
    text << file.rdbuf();
    const auto settings = protocol::readNodeSettings(text.str(), settingsFile);
    if (!settings.ok())
        return sayNo(settings.status());
    const auto signals = blockStopSignals();
    transport::daemon daemon(*settings);
    if (const auto status = daemon.start(); !status.ok())
        return sayNo(status);
    std::thread([&daemon, signals] {
        int signal = 0;
        sigwait(&signals, &signal);
        daemon.drain();
    }).detach();
    daemon.join();
    return 0;
}

} // namespace acaciaslip::app
