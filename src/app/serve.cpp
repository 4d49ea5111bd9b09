#include "app/serve.hpp"

#include "app/exit_codes.hpp"
#include "protocol/node_settings_reader.hpp"
#include "transport/loop/node_daemon.hpp"
#include "transport/loop/signal_handler.hpp"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>

#include <fmt/format.h>

namespace acaciaslip::app {

namespace {

int printFailure(const absl::Status& status)
{
    fmt::print(stderr, "acaciaslip: {}\n", std::string(status.message()));
    return exitFailed;
}

absl::StatusOr<state::node_settings> loadSettings(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    if (!file || !(text << file.rdbuf()))
        return absl::NotFoundError(fmt::format("{} cannot be read, or is empty; check the path", path));
    return protocol::readNodeSettings(text.str(), path);
}

coordination::log_event describeStart(const state::node_settings& settings)
{
    return { coordination::log_level::info, "started",
        { { "version", ACACIASLIP_VERSION }, { "id", settings.id }, { "data_centre", settings.dataCentre },
            { "callers", settings.callerAddress }, { "peers", settings.peerAddress },
            { "operators", settings.operatorAddress } } };
}

} // namespace

int serve(const std::string& settingsFile)
{
    const auto settings = loadSettings(settingsFile);
    if (!settings.ok())
        return printFailure(settings.status());
    // Writes to a connection that the remote side has closed are reported by their result, not by a signal.
    (void)std::signal(SIGPIPE, SIG_IGN);
    transport::loop::node_daemon daemon(*settings);
    if (const auto status = daemon.start(); !status.ok())
        return printFailure(status);
    transport::loop::signal_handler signals(daemon.loop(), { SIGTERM, SIGINT }, [&daemon](int number) {
        daemon.log({ coordination::log_level::info, "signal", { { "number", std::to_string(number) } } });
        daemon.drain();
    });
    daemon.setCloseCallback([&] {
        signals.close();
        daemon.log({ coordination::log_level::info, "stopped", { { "id", settings->id } } });
    });
    daemon.log(describeStart(*settings));
    for (const auto& key : settings->ignoredKeys)
        daemon.log({ coordination::log_level::warning, "setting_ignored", { { "key", key } } });
    daemon.run();
    return exitSuccess;
}

} // namespace acaciaslip::app
