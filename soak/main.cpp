#include "soak/fault_proxy.hpp"
#include "soak/guarantees.hpp"
#include "soak/platform_standin.hpp"
#include "transport/loop/boot_clock.hpp"
#include "transport/loop/http_connection.hpp"
#include "transport/loop/udp_socket.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <fmt/format.h>
#include <unistd.h>

namespace acaciaslip::soak {
namespace {

using namespace std::chrono_literals;
using transport::loop::bootNow;
using transport::loop::http_connection;
using transport::loop::timer;

constexpr std::size_t hosts = 4;
constexpr std::size_t serversPerService = 4;
constexpr std::array<const char*, 2> services { "lookups", "bookings" };
constexpr state::duration markServersWarm = 1500ms; ///< time from starting the hosts to the first request
constexpr state::duration requestInterval = 8ms;
constexpr state::duration faultInterval = 350ms;
constexpr state::duration settling = 4s; ///< time allowed for recovery after the last fault
constexpr std::size_t largestChange = 1400; ///< routes that one configuration adds
constexpr std::size_t maxFurtherRoutes = 2800;
constexpr state::duration rewriteDelay = 200ms; ///< from a restoration until the lost items are written again
constexpr int callerPort = 18641;
constexpr int statusNotFound = 404;
constexpr double minServedShare = 0.9; ///< of the requests sent in the two seconds after recovery
constexpr double limitAfterRecovery = 1.5; ///< requests per second that one server of each service names
constexpr double maxRunsAtLimit = limitAfterRecovery * 1.5 * 4 + 5; ///< within four seconds

/// One gateway process and its settings.
struct gateway_host {
    std::string ip;
    std::string settingsFile;
    uv_process_t* process = nullptr;
    bool running = false;
    bool paused = false;
    bool stopping = false; ///< SIGTERM was sent; callers' connections stay in use until the process exits
};

struct run_counts {
    std::map<std::string, int> faults;
    int sentAfterRecovery = 0;
    int servedAfterRecovery = 0;
    std::vector<std::uint32_t> runsBeforeRecovery; ///< by server
};

/// One run with a seeded random generator.
class soak_run {
public:
    soak_run(std::uint32_t seed, std::string program, state::duration length)
        : m_random(seed)
        , m_seed(seed)
        , m_program(std::move(program))
        , m_length(length)
    {
        uv_loop_init(&m_loop);
        m_folder = std::filesystem::temp_directory_path() / fmt::format("acaciaslip-soak-{}-{}", ::getpid(), seed);
        std::filesystem::create_directories(m_folder);
        m_store = std::make_unique<store_standin>(&m_loop);
        m_datagrams
            = std::make_unique<transport::loop::udp_socket>(&m_loop, [](const std::string&, std::string_view) {});
        if (const auto status = m_datagrams->bind(fmt::format("{}:{}", ipOf(hosts), callerPort)); !status.ok())
            m_checker.recordViolation(std::string(status.message()));
        for (std::size_t index = 0; index < hosts; ++index)
            m_storeProxies.push_back(std::make_unique<fault_proxy>(&m_loop, m_store->address()));
    }

    bool run()
    {
        publish();
        m_store->keepCopy();
        startHosts();
        runFor(markServersWarm);
        m_requestTimer = std::make_unique<timer>(&m_loop, [this] { sendRequest(); });
        m_faultTimer = std::make_unique<timer>(&m_loop, [this] { injectFault(); });
        m_requestTimer->start(requestInterval);
        m_faultTimer->start(faultInterval);
        runFor(m_length);
        m_faultTimer.reset();
        healAll();
        runFor(settling);
        m_recovered = true;
        for (const auto& server : m_servers)
            m_counts.runsBeforeRecovery.push_back(server->runs());
        runFor(2s);
        m_requestTimer.reset();
        runFor(1500ms);
        checkLimits();
        return finish();
    }

private:
    void publish()
    {
        for (const auto* service : services) {
            for (std::size_t index = 0; index < serversPerService; ++index) {
                const auto id = fmt::format("i-{}{}", service, index);
                m_servers.push_back(std::make_unique<server_standin>(&m_loop, id, service, m_checker, m_random));
                m_serverProxies.push_back(std::make_unique<fault_proxy>(&m_loop, m_servers.back()->address()));
                putServer(m_servers.size() - 1, "ready");
            }
        }
        putConfiguration();
    }

    void putServer(std::size_t index, const std::string& state)
    {
        const auto& server = *m_servers[index];
        if (state == "draining")
            m_drainingServers.insert(index);
        else
            m_drainingServers.erase(index);
        m_store->put("servers/" + server.id(),
            fmt::format(R"({{"address":"{}","info":{{"service":"{}","version":"v1","zone":"{}","max-concurrency":4}},)"
                        R"("status":{{"state":"{}","seq-no":1,"cold-left":"0ms"}},"born":1}})",
                m_serverProxies[index]->address(), server.service(), index % 2 == 0 ? "a" : "b", state));
    }

    /// Publishes a new version. Only the newest one has a route for its own host name.
    /// \param routesAdded routes that this version and all later ones have in addition
    void putConfiguration(std::size_t routesAdded = 0)
    {
        ++m_version;
        m_furtherRoutes = std::min(m_furtherRoutes + routesAdded, maxFurtherRoutes);
        const auto rule = [](const std::string& host, const char* service, const char* kind) {
            return fmt::format(
                R"({{"host":"{0}.example","rules":[{{"name":"{0}","kind":"{1}","latency-slo":"300ms","priority":1,)"
                R"("match":{{"path-prefix":"/"}},"action":{{"service":"{2}","timeout":"1s","attempts":2}}}}]}})",
                host, kind, service);
        };
        const auto cluster = [](const char* service) {
            return fmt::format(R"({{"name":"{}","health-path":"/health","max-conns":200,"protocol":"h1","tls":false,)"
                               R"("cold-start":"1s","cold-per-s":3}})",
                service);
        };
        std::string further;
        for (std::size_t index = 0; index < m_furtherRoutes; ++index)
            further += "," + rule(fmt::format("further{}", index), services[0], "idempotent");
        m_configuration = fmt::format(
            R"({{"version":"{:08x}","limits":{{"max-header-bytes":16384,"max-body-bytes":1000000,)"
            R"("header-timeout":"3s","idle-timeout":"15s"}},"listeners":[{},{},{}{}],"clusters":[{},{}]}})",
            m_version, rule(services[0], services[0], "idempotent"), rule(services[1], services[1], "non_idempotent"),
            rule(newestHostName(), services[0], "idempotent"), further, cluster(services[0]), cluster(services[1]));
        m_store->put("op/config", m_configuration);
    }

    /// Restores the store from its copy. The operator and the servers write again what they wrote since a moment later.
    void restoreStore()
    {
        m_store->restore();
        m_rewriteTimer = std::make_unique<timer>(&m_loop, [this] {
            m_store->put("op/config", m_configuration);
            for (std::size_t index = 0; index < m_servers.size(); ++index)
                putServer(index, m_drainingServers.contains(index) ? "draining" : "ready");
        });
        m_rewriteTimer->start(rewriteDelay);
    }

    [[nodiscard]] std::string newestHostName() const { return fmt::format("version{}", m_version); }

    /// Each seed has addresses of its own, so that several soaks can run at once.
    [[nodiscard]] std::string ipOf(std::size_t host) const
    {
        return fmt::format("127.{}.{}.{}", 1 + m_seed % 200, 1 + m_seed / 200 % 200, host + 1);
    }

    void startHosts()
    {
        for (std::size_t index = 0; index < hosts; ++index) {
            gateway_host host;
            host.ip = ipOf(index);
            host.settingsFile = m_folder / fmt::format("host{}.yaml", index);
            std::ofstream(host.settingsFile)
                << fmt::format("self: {{node-name: host{0}, ip: {1}, zone: {2}}}\n"
                               "network:\n  listen: {{front: '{1}:{3}', ready: '{1}:{4}', control: '{1}:{5}'}}\n"
                               "  internal-ports: [{6}, {6}]\n  seeds: ['{7}:{5}']\n"
                               "platform: {{platform: {{address: '{8}'}}}}\nterms: {{bounds: {{grace: 4s}}}}\n",
                       index, host.ip, index % 2 == 0 ? "a" : "b", callerPort, callerPort + 1, callerPort + 2,
                       callerPort + 3, ipOf(0), m_storeProxies[index]->address());
            m_hosts.push_back(host);
        }
        for (auto& host : m_hosts)
            startHost(host);
    }

    void startHost(gateway_host& host)
    {
        const auto variable = "ACACIASLIP_NODE_FILE=" + host.settingsFile;
        std::array<char*, 2> environment { const_cast<char*>(variable.c_str()), nullptr };
        std::array<char*, 3> arguments { const_cast<char*>(m_program.c_str()), const_cast<char*>("gateway"), nullptr };
        const int log = ::open((host.settingsFile + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        std::array<uv_stdio_container_t, 3> streams {};
        streams[0].flags = UV_IGNORE;
        for (std::size_t stream = 1; stream < streams.size(); ++stream) {
            streams[stream].flags = UV_INHERIT_FD;
            streams[stream].data.fd = log;
        }
        uv_process_options_t options {};
        options.file = m_program.c_str();
        options.args = arguments.data();
        options.env = environment.data();
        options.stdio = streams.data();
        options.stdio_count = static_cast<int>(streams.size());
        options.exit_cb = [](uv_process_t* process, std::int64_t status, int signal) {
            auto* const self = static_cast<soak_run*>(process->data);
            self->noteExit(process, status, signal);
        };
        host.process = new uv_process_t {};
        host.process->data = this;
        if (const int problem = uv_spawn(&m_loop, host.process, &options); problem != 0)
            m_checker.recordViolation(fmt::format("cannot start {}: {}", m_program, uv_strerror(problem)));
        ::close(log);
        host.running = true;
        host.stopping = false;
    }

    void noteExit(uv_process_t* process, std::int64_t status, int signal)
    {
        for (auto& host : m_hosts) {
            if (host.process != process)
                continue;
            host.running = false;
            if (signal != SIGKILL && (status != 0 || !host.stopping) && !m_finished)
                m_checker.recordViolation(
                    fmt::format("{} exited unexpectedly with status {} signal {}", host.ip, status, signal));
            host.process = nullptr;
        }
        uv_close(reinterpret_cast<uv_handle_t*>(process),
            [](uv_handle_t* closed) { delete reinterpret_cast<uv_process_t*>(closed); });
    }

    void signalHost(gateway_host& host, int number) const
    {
        if (host.running && host.process != nullptr)
            uv_process_kill(host.process, number);
    }

    /// Injects one random fault and restarts exited hosts. Faults overlap: each lasts until a later fault of the same
    /// kind changes the same target or healAll() ends it.
    void injectFault()
    {
        m_faultTimer->start(faultInterval);
        auto& host = m_hosts[m_random() % m_hosts.size()];
        const auto server = m_random() % m_servers.size();
        constexpr std::array<proxy_fault, 5> kinds { proxy_fault::none, proxy_fault::delay, proxy_fault::reset,
            proxy_fault::blackhole, proxy_fault::drop_responses };
        constexpr std::array<server_fault, 8> serverFaults { server_fault::repeats_refusal, server_fault::none,
            server_fault::fails_after_run, server_fault::sheds, server_fault::malformed, server_fault::unfinished,
            server_fault::duplicate, server_fault::late };
        switch (m_random() % 14) {
        case 0:
            ++m_counts.faults["kill"];
            signalHost(host, SIGKILL);
            break;
        case 1:
            ++m_counts.faults["stop"];
            host.stopping = true;
            signalHost(host, SIGTERM);
            break;
        case 2:
            ++m_counts.faults["pause"];
            signalHost(host, host.paused ? SIGCONT : SIGSTOP);
            host.paused = !host.paused;
            break;
        case 3:
            ++m_counts.faults["store"];
            setStoreFault(kinds[m_random() % kinds.size()]);
            break;
        case 4:
            ++m_counts.faults["configuration"];
            putConfiguration();
            break;
        case 5:
            ++m_counts.faults["server"];
            m_servers[server]->setFault(serverFaults[m_random() % serverFaults.size()]);
            break;
        case 6:
            ++m_counts.faults["drain"];
            putServer(server, m_random() % 2 == 0 ? "draining" : "ready");
            break;
        case 7:
            ++m_counts.faults["reload"];
            signalHost(host, SIGHUP);
            break;
        case 11:
            ++m_counts.faults["restore"];
            restoreStore();
            break;
        case 12:
            ++m_counts.faults["large"];
            putConfiguration(m_random() % largestChange);
            break;
        case 9:
            ++m_counts.faults["store_json"];
            m_store->setMalformed(m_random() % 2 == 0);
            break;
        case 10:
            ++m_counts.faults["datagrams"];
            sendDatagrams(host);
            break;
        case 8:
            ++m_counts.faults["limit"];
            m_servers[server]->setLimit(m_random() % 2 == 0 ? std::optional(limitAfterRecovery) : std::nullopt);
            break;
        default:
            ++m_counts.faults["link"];
            m_serverProxies[server]->setFault(kinds[m_random() % kinds.size()]);
            break;
        }
        restartHosts();
    }

    /// Sends random datagrams to a host's heartbeat port.
    void sendDatagrams(const gateway_host& host)
    {
        constexpr std::size_t longest = 1400;
        for (int sent = 0; sent < 20; ++sent) { // NOLINT: a burst
            std::string bytes(m_random() % longest + 1, '\0');
            std::generate(bytes.begin(), bytes.end(), [this] { return static_cast<char>(m_random()); });
            m_datagrams->send(fmt::format("{}:{}", host.ip, callerPort + 3), bytes);
        }
    }

    /// Sets a fault between the store and one host, or all hosts.
    void setStoreFault(proxy_fault fault)
    {
        const bool all = m_random() % 2 == 0;
        const auto one = m_random() % m_storeProxies.size();
        for (std::size_t index = 0; index < m_storeProxies.size(); ++index) {
            if (all || index == one)
                m_storeProxies[index]->setFault(fault);
        }
    }

    void restartHosts()
    {
        for (auto& host : m_hosts) {
            if (!host.running)
                startHost(host);
        }
    }

    void healAll()
    {
        m_store->setMalformed(false);
        for (const auto& proxy : m_storeProxies)
            proxy->setFault(proxy_fault::none);
        for (std::size_t index = 0; index < m_servers.size(); ++index) {
            m_serverProxies[index]->setFault(proxy_fault::reset);
            m_serverProxies[index]->setFault(proxy_fault::none);
            m_servers[index]->setFault(server_fault::none);
            m_servers[index]->setLimit(
                isLimitedAfterRecovery(index) ? std::optional(limitAfterRecovery) : std::nullopt);
            putServer(index, "ready");
        }
        for (auto& host : m_hosts) {
            if (std::exchange(host.paused, false))
                signalHost(host, SIGCONT);
        }
        m_restartTimer = std::make_unique<timer>(&m_loop, [this] {
            restartHosts();
            m_restartTimer->start(200ms);
        });
        m_restartTimer->start(200ms);
    }

    static bool isLimitedAfterRecovery(std::size_t server) { return server % serversPerService == 0; }

    void checkLimits()
    {
        for (std::size_t index = 0; index < m_servers.size(); ++index) {
            const auto runs = m_servers[index]->runs() - m_counts.runsBeforeRecovery[index];
            if (isLimitedAfterRecovery(index) && runs > maxRunsAtLimit)
                m_checker.recordViolation(
                    fmt::format("{} executed {} requests within four seconds, above its limit of {} a second",
                        m_servers[index]->id(), runs, limitAfterRecovery));
        }
    }

    void sendRequest()
    {
        m_requestTimer->start(requestInterval);
        const auto& host = m_hosts[m_random() % m_hosts.size()];
        const std::string service = services[m_random() % services.size()];
        const bool idempotent = service == services[0];
        const auto hostName = m_recovered && idempotent && m_random() % 2 == 0 ? newestHostName() : service;
        const auto id = fmt::format("{:08x}{:08x}", m_seed, ++m_sent);
        m_checker.recordSent(id, idempotent, service);
        m_counts.sentAfterRecovery += m_recovered ? 1 : 0;
        auto link = acquireConnection(host.ip, id);
        link->send(fmt::format("{} /x HTTP/1.1\r\nHost: {}.example\r\nX-Acaciaslip-Request-Id: {}\r\n"
                               "X-Acaciaslip-Deadline-Ms: 1500\r\n{}\r\n{}",
            idempotent ? "GET" : "POST", hostName, id, idempotent ? "" : "Content-Length: 2\r\n",
            idempotent ? "" : "hi"));
    }

    /// Returns an idle connection for about half of the requests, even while its process is being stopped, and opens a
    /// new one otherwise.
    std::shared_ptr<http_connection> acquireConnection(const std::string& ip, const std::string& id)
    {
        auto& idle = m_idle[ip];
        while (!idle.empty() && m_random() % 2 == 0) {
            auto kept = idle.back();
            idle.pop_back();
            if (kept.first->isIdle()) {
                *kept.second = id;
                return kept.first;
            }
        }
        const auto current = std::make_shared<std::string>(id);
        const auto holder = std::make_shared<std::weak_ptr<http_connection>>();
        transport::loop::http_connection_callbacks callbacks;
        callbacks.isExpected = [](const protocol::http::message&) { return true; };
        callbacks.answered = [this, ip, current, holder](const protocol::http::message& answer) {
            m_checker.recordAnswer(*current, answer.status, answer.body, !answer.closeDelimited);
            m_counts.servedAfterRecovery += m_recovered && answer.status == 200 ? 1 : 0;
            if (m_recovered && answer.status == statusNotFound)
                m_checker.recordViolation(ip + " does not know the newest configuration");
            if (const auto link = holder->lock(); link && link->isIdle())
                m_idle[ip].emplace_back(link, current);
        };
        callbacks.failed = [](transport::loop::connection_failure) {}; // no answer, so there is no guarantee to check
        callbacks.closedWhileIdle = [] {};
        auto made = http_connection::open(
            &m_loop, *transport::loop::parseAddress(fmt::format("{}:{}", ip, callerPort)), {}, std::move(callbacks));
        *holder = made;
        m_connections.push_back(made);
        return made;
    }

    void runFor(state::duration span)
    {
        bool finished = false;
        timer limit(&m_loop, [&] { finished = true; });
        limit.start(span);
        while (!finished)
            uv_run(&m_loop, UV_RUN_ONCE);
    }

    bool finish()
    {
        m_finished = true;
        m_restartTimer.reset();
        m_rewriteTimer.reset();
        for (auto& host : m_hosts)
            signalHost(host, SIGKILL);
        runFor(200ms);
        if (m_counts.servedAfterRecovery < m_counts.sentAfterRecovery * minServedShare)
            m_checker.recordViolation(fmt::format("only {} of {} requests were served after all faults had ended",
                m_counts.servedAfterRecovery, m_counts.sentAfterRecovery));
        for (const auto& link : m_connections)
            link->close();
        m_datagrams->close();
        runFor(50ms);
        std::string faults;
        for (const auto& [kind, count] : m_counts.faults)
            faults += fmt::format(" {}:{}", kind, count);
        fmt::print("seed {:<6} requests {:<6} served {:<6} refused {:<5} checks {:<6} broken {:<3} faults{}\n", m_seed,
            m_checker.requests(), m_checker.count(200), m_checker.count(503), m_checker.checked(),
            m_checker.violations().size(), faults);
        for (const auto& violation : m_checker.violations())
            fmt::print("  BROKEN {}\n", violation);
        const bool passed = m_checker.violations().empty();
        if (passed)
            std::filesystem::remove_all(m_folder);
        else
            fmt::print("  logs in {}\n", m_folder.string());
        std::fflush(stdout);
        return passed;
    }

    std::mt19937 m_random;
    std::uint32_t m_seed;
    std::string m_program;
    state::duration m_length;
    uv_loop_t m_loop {};
    std::filesystem::path m_folder;
    guarantee_checker m_checker;
    run_counts m_counts;
    std::unique_ptr<store_standin> m_store;
    std::unique_ptr<transport::loop::udp_socket> m_datagrams;
    std::vector<std::unique_ptr<fault_proxy>> m_storeProxies; ///< by host
    std::vector<std::unique_ptr<server_standin>> m_servers;
    std::vector<std::unique_ptr<fault_proxy>> m_serverProxies;
    std::vector<gateway_host> m_hosts;
    std::map<std::string, std::vector<std::pair<std::shared_ptr<http_connection>, std::shared_ptr<std::string>>>>
        m_idle;
    std::vector<std::shared_ptr<http_connection>> m_connections;
    std::unique_ptr<timer> m_requestTimer;
    std::unique_ptr<timer> m_faultTimer;
    std::unique_ptr<timer> m_restartTimer;
    std::unique_ptr<timer> m_rewriteTimer;
    std::uint32_t m_version = 0;
    std::size_t m_furtherRoutes = 0;
    std::string m_configuration; ///< the newest one
    std::set<std::size_t> m_drainingServers; ///< by index
    std::uint32_t m_sent = 0;
    bool m_recovered = false; ///< all faults have ended and the recovery time has passed, so requests must be served
    bool m_finished = false;
};

} // namespace
} // namespace acaciaslip::soak

/// Usage: soak PROGRAM FIRST_SEED SEEDS SECONDS. Runs gateway processes under injected faults, one seed after another.
/// Exits with 1 when a guarantee was violated.
int main(int argc, char** argv)
{
    if (argc != 5) {
        fmt::print(stderr, "usage: {} PROGRAM FIRST_SEED SEEDS SECONDS\n", argv[0]);
        return 2;
    }
    (void)std::signal(SIGPIPE, SIG_IGN);
    const auto first = static_cast<std::uint32_t>(std::strtoul(argv[2], nullptr, 10));
    const auto seeds = static_cast<std::uint32_t>(std::strtoul(argv[3], nullptr, 10));
    const auto seconds = std::chrono::seconds { std::strtol(argv[4], nullptr, 10) };
    int broken = 0;
    for (std::uint32_t seed = first; seed < first + seeds; ++seed) {
        acaciaslip::soak::soak_run run(seed, argv[1], seconds);
        broken += run.run() ? 0 : 1;
    }
    fmt::print("{} seeds, {} with a violated guarantee\n", seeds, broken);
    return broken == 0 ? 0 : 1;
}
