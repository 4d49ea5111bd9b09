#include "app/serve.hpp"

#include "app/exit_codes.hpp"
#include "app/signal_watch.hpp"
#include "protocol/node_settings_reader.hpp"
#include "transport/daemon.hpp"
#include "transport/logger.hpp"

#include <cstdio>
#include <fstream>
#include <sstream>

#include <fmt/format.h>

namespace acaciaslip::app {

namespace {

int sayNo(const absl::Status& status)
{
    fmt::print(stderr, "acaciaslip: {}\n", std::string(status.message()));
    return exitSaidNo;
}

absl::StatusOr<state::node_settings> loadSettings(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    if (!file || !(text << file.rdbuf()))
        return absl::NotFoundError(fmt::format("{} cannot be read, or is empty; check the path", path));
    return protocol::readNodeSettings(text.str(), path);
}

void logStart(const state::node_settings& settings)
{
    transport::writeLog({ coordination::log_level::info, "started",
        { { "version", ACACIASLIP_VERSION }, { "id", settings.id }, { "data_centre", settings.dataCentre },
            { "callers", settings.callers }, { "peers", settings.peers }, { "operators", settings.operators } } });
}

} // namespace

int serve(const std::string& settingsFile)
{
    const auto settings = loadSettings(settingsFile);
    if (!settings.ok())
        return sayNo(settings.status());
    const auto level = state::findValue<coordination::log_level>(coordination::logLevelNames, settings->logLevel);
    transport::setLogLevel(level.value_or(coordination::log_level::info));
    signal_watch signals;
    transport::daemon daemon(*settings);
    if (const auto status = daemon.start(); !status.ok())
        return sayNo(status);
    logStart(*settings);
    signals.start([&daemon](int number) {
        transport::writeLog({ coordination::log_level::info, "signal", { { "number", std::to_string(number) } } });
        daemon.drain();
    });
    daemon.join();
    signals.stop();
    transport::writeLog({ coordination::log_level::info, "stopped", { { "id", settings->id } } });
    return exitDone;
}

} // namespace acaciaslip::app
