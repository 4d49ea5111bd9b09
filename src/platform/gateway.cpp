#include "platform/gateway.hpp"

#include "coordination/gateway/store_watch.hpp"
#include "platform/host_settings.hpp"
#include "platform/http_format.hpp"
#include "platform/store_client.hpp"
#include "transport/loop/boot_clock.hpp"
#include "transport/loop/gateway_daemon.hpp"
#include "transport/loop/signal_handler.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include <fmt/format.h>

namespace acaciaslip::platform {

namespace {

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;

int reportFailure(std::string_view problem)
{
    fmt::print(stderr, "acaciaslip: {}\n", problem);
    return exitFailure;
}

std::string settingsFile()
{
    const char* const path = std::getenv(settingsVariable);
    return path != nullptr ? path : "";
}

std::vector<std::string> withoutPorts(const std::vector<std::string>& addresses)
{
    std::vector<std::string> ips;
    ips.reserve(addresses.size());
    for (const auto& address : addresses)
        ips.push_back(address.substr(0, address.rfind(':')));
    return ips;
}

transport::loop::gateway_settings makeGatewaySettings(const host_settings& host)
{
    transport::loop::gateway_settings settings;
    settings.node.id = host.id;
    settings.node.dataCentre = host.dataCentre;
    settings.node.limits = host.limits;
    // A host without internal ports cannot receive messages from its peers and reads only the store.
    if (!host.operatorAddress.empty() && host.firstInternalPort > 0) {
        settings.node.ip = host.ip;
        settings.node.seeds = withoutPorts(host.seedAddresses);
        settings.peerPort = host.firstInternalPort;
    }
    settings.memoryBytes = host.memoryBytes;
    settings.node.incarnation = transport::loop::unixNow().count();
    settings.format = makeHttpFormat();
    settings.callers = host.callerAddress;
    settings.health = host.healthAddress;
    settings.operators = host.operatorAddress;
    return settings;
}

coordination::log_event describeStart(const host_settings& host)
{
    return { coordination::log_level::info, "started",
        { { "version", ACACIASLIP_VERSION }, { "id", host.id }, { "data_centre", host.dataCentre },
            { "callers", host.callerAddress }, { "operators", host.operatorAddress },
            { "store", host.storeAddress } } };
}

/// The gateway daemon, its store client and its signal handlers.
class gateway_process {
public:
    explicit gateway_process(const host_settings& host)
        : m_daemon(makeGatewaySettings(host))
        , m_store(
              m_daemon.loop(), host.storeAddress, [this](auto event) { m_daemon.post(std::move(event)); },
              [this](const auto& line) { m_daemon.log(line); })
        , m_signals(m_daemon.loop(), { SIGTERM, SIGINT, SIGHUP }, [this](int number) { handleSignal(number); })
    {
        m_daemon.setStore({ [this](const auto& wanted) { watchStore(wanted); }, [this] { m_store.restartWatch(); },
            [this] { return m_store.calls(); }, [this] { return m_store.uselessAnswers(); },
            [this] { m_store.stop(); } });
        m_store.setMaxSilence(coordination::gateway::maxStoreSilence(host.limits));
        m_daemon.setCloseCallback([this] { m_signals.close(); });
        m_daemon.log(describeStart(host));
    }

    absl::Status start() { return m_daemon.start(); }

    void run() { m_daemon.run(); }

private:
    void watchStore(const coordination::gateway::watch_store& wanted)
    {
        if (!wanted.follow)
            return m_store.stop();
        m_store.skipTo(wanted.known);
        m_store.start();
    }

    void handleSignal(int number)
    {
        m_daemon.log({ coordination::log_level::info, "signal", { { "number", std::to_string(number) } } });
        if (number == SIGHUP)
            return reload();
        m_daemon.post(coordination::gateway::stop_requested {});
    }

    /// Applies the settings that may change at run time; a file with errors changes nothing.
    void reload()
    {
        const auto host = loadHostSettings(settingsFile());
        if (!host.ok())
            return m_daemon.log({ coordination::log_level::error, "settings_refused",
                { { "why", std::string(host.status().message()) } } });
        m_daemon.setLimits(host->limits);
        m_store.setAddress(host->storeAddress);
        m_store.setMaxSilence(coordination::gateway::maxStoreSilence(host->limits));
        m_daemon.log({ coordination::log_level::info, "settings_reloaded", { { "store", host->storeAddress } } });
    }

    transport::loop::gateway_daemon m_daemon;
    store_client m_store;
    transport::loop::signal_handler m_signals;
};

} // namespace

int runGateway()
{
    const auto file = settingsFile();
    if (file.empty())
        return reportFailure(fmt::format("{} is not set; set it to the path of the settings file", settingsVariable));
    const auto host = loadHostSettings(file);
    if (!host.ok())
        return reportFailure(std::string(host.status().message()));
    // Writing to a connection closed by the peer must fail with an error code instead of ending the process.
    (void)std::signal(SIGPIPE, SIG_IGN);
    gateway_process process(*host);
    if (const auto status = process.start(); !status.ok())
        return reportFailure(std::string(status.message()));
    process.run();
    return exitSuccess;
}

} // namespace acaciaslip::platform
