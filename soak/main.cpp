#include "soak/fault_proxy.hpp"
#include "soak/platform_standin.hpp"
#include "soak/promises.hpp"
#include "transport/loop/boot_clock.hpp"
#include "transport/loop/http_link.hpp"

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
using transport::loop::http_link;
using transport::loop::timer;

constexpr std::size_t hosts = 4;
constexpr std::size_t serversPerService = 4;
constexpr std::array<const char*, 2> services { "lookups", "bookings" };
constexpr state::duration warmUp = 1500ms; ///< before the first request
constexpr state::duration requestInterval = 8ms;
constexpr state::duration faultInterval = 350ms;
constexpr state::duration settling = 4s; ///< after the last fault, before service must be back
constexpr int callersPort = 18641;
constexpr double leastServedAfterwards = 0.9; ///< of the requests sent in the last two seconds

/// One gateway process and its settings.
struct gateway_host {
    std::string ip;
    std::string settingsFile;
    uv_process_t* process = nullptr;
    bool running = false;
    bool paused = false;
    bool stopping = false; ///< by SIGTERM: callers' connections stay in use until it is gone
};

struct tally {
    std::map<std::string, int> faults;
    int lateSent = 0;
    int lateServed = 0;
};

/// One seeded run.
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
        m_storeProxy = std::make_unique<fault_proxy>(&m_loop, m_store->address());
    }

    bool run()
    {
        publish();
        startHosts();
        runFor(warmUp);
        m_callers = std::make_unique<timer>(&m_loop, [this] { sendRequest(); });
        m_faults = std::make_unique<timer>(&m_loop, [this] { injectFault(); });
        m_callers->start(requestInterval);
        m_faults->start(faultInterval);
        runFor(m_length);
        m_faults.reset();
        healAll();
        runFor(settling);
        m_late = true;
        runFor(2s);
        m_callers.reset();
        runFor(1500ms);
        return finish();
    }

private:
    void publish()
    {
        for (const auto* service : services) {
            for (std::size_t index = 0; index < serversPerService; ++index) {
                const auto id = fmt::format("i-{}{}", service, index);
                m_servers.push_back(std::make_unique<server_standin>(&m_loop, id, service, m_promises, m_random));
                m_serverProxies.push_back(std::make_unique<fault_proxy>(&m_loop, m_servers.back()->address()));
                putServer(m_servers.size() - 1, "ready");
            }
        }
        putConfiguration();
    }

    void putServer(std::size_t index, const std::string& state)
    {
        const auto& server = *m_servers[index];
        m_store->put("servers/" + server.id(),
            fmt::format(R"({{"address":"{}","info":{{"service":"{}","version":"v1","zone":"{}","max-concurrency":4}},)"
                        R"("status":{{"state":"{}","seq-no":1,"cold-left":"0ms"}},"born":1}})",
                m_serverProxies[index]->address(), server.service(), index % 2 == 0 ? "a" : "b", state));
    }

    void putConfiguration()
    {
        const auto rule = [](const char* service, const char* kind) {
            return fmt::format(
                R"({{"host":"{0}.example","rules":[{{"name":"{0}","kind":"{1}","latency-slo":"300ms","priority":1,)"
                R"("match":{{"path-prefix":"/"}},"action":{{"service":"{0}","timeout":"1s","attempts":2}}}}]}})",
                service, kind);
        };
        const auto cluster = [](const char* service) {
            return fmt::format(R"({{"name":"{}","health-path":"/health","max-conns":200,"protocol":"h1","tls":false,)"
                               R"("cold-start":"1s","cold-per-s":3}})",
                service);
        };
        m_store->put("op/config",
            fmt::format(R"({{"version":"{:08x}","limits":{{"max-header-bytes":16384,"max-body-bytes":1000000,)"
                        R"("header-timeout":"3s","idle-timeout":"15s"}},"listeners":[{},{}],"clusters":[{},{}]}})",
                ++m_version, rule(services[0], "idempotent"), rule(services[1], "non_idempotent"), cluster(services[0]),
                cluster(services[1])));
    }

    void startHosts()
    {
        for (std::size_t index = 0; index < hosts; ++index) {
            gateway_host host;
            host.ip = fmt::format("127.{}.{}.{}", 1 + m_seed % 200, 1 + m_seed / 200 % 200, index + 1);
            host.settingsFile = m_folder / fmt::format("host{}.yaml", index);
            std::ofstream(host.settingsFile)
                << fmt::format("self: {{node-name: host{0}, ip: {1}, zone: {2}}}\n"
                               "network:\n  listen: {{front: '{1}:{3}', ready: '{1}:{4}', control: '{1}:{5}'}}\n"
                               "  internal-ports: [{6}, {6}]\n  seeds: ['127.{7}.{8}.1:{5}']\n"
                               "platform: {{platform: {{address: '{9}'}}}}\nterms: {{bounds: {{grace: 4s}}}}\n",
                       index, host.ip, index % 2 == 0 ? "a" : "b", callersPort, callersPort + 1, callersPort + 2,
                       callersPort + 3, 1 + m_seed % 200, 1 + m_seed / 200 % 200, m_storeProxy->address());
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
            m_promises.breakPromise(fmt::format("cannot start {}: {}", m_program, uv_strerror(problem)));
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
            if (signal != SIGKILL && (status != 0 || !host.stopping) && !m_over)
                m_promises.breakPromise(
                    fmt::format("{} ended by itself with status {} signal {}", host.ip, status, signal));
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

    /// Faults come in series and overlap: each heals by itself some time later, or with the next of its kind.
    void injectFault()
    {
        m_faults->start(faultInterval);
        auto& host = m_hosts[m_random() % m_hosts.size()];
        const auto server = m_random() % m_servers.size();
        constexpr std::array<proxy_fault, 5> kinds { proxy_fault::none, proxy_fault::delay, proxy_fault::reset,
            proxy_fault::silence, proxy_fault::one_way };
        switch (m_random() % 9) {
        case 0:
            ++m_tally.faults["kill"];
            signalHost(host, SIGKILL);
            break;
        case 1:
            ++m_tally.faults["stop"];
            host.stopping = true;
            signalHost(host, SIGTERM);
            break;
        case 2:
            ++m_tally.faults["pause"];
            signalHost(host, host.paused ? SIGCONT : SIGSTOP);
            host.paused = !host.paused;
            break;
        case 3:
            ++m_tally.faults["store"];
            m_storeProxy->setFault(kinds[m_random() % kinds.size()]);
            break;
        case 4:
            ++m_tally.faults["configuration"];
            putConfiguration();
            break;
        case 5:
            ++m_tally.faults["shed"];
            m_servers[server]->setSheds(m_random() % 2 == 0);
            break;
        case 6:
            ++m_tally.faults["drain"];
            putServer(server, m_random() % 2 == 0 ? "draining" : "ready");
            break;
        case 7:
            ++m_tally.faults["reload"];
            signalHost(host, SIGHUP);
            break;
        default:
            ++m_tally.faults["link"];
            m_serverProxies[server]->setFault(kinds[m_random() % kinds.size()]);
            break;
        }
        restartHosts();
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
        m_storeProxy->setFault(proxy_fault::none);
        for (std::size_t index = 0; index < m_servers.size(); ++index) {
            m_serverProxies[index]->setFault(proxy_fault::reset);
            m_serverProxies[index]->setFault(proxy_fault::none);
            m_servers[index]->setSheds(false);
            putServer(index, "ready");
        }
        for (auto& host : m_hosts) {
            if (std::exchange(host.paused, false))
                signalHost(host, SIGCONT);
        }
        m_healer = std::make_unique<timer>(&m_loop, [this] {
            restartHosts();
            m_healer->start(200ms);
        });
        m_healer->start(200ms);
    }

    void sendRequest()
    {
        m_callers->start(requestInterval);
        const auto& host = m_hosts[m_random() % m_hosts.size()];
        const std::string service = services[m_random() % services.size()];
        const bool idempotent = service == services[0];
        const auto id = fmt::format("{:08x}{:08x}", m_seed, ++m_sent);
        m_promises.sent(id, idempotent, service);
        m_tally.lateSent += m_late ? 1 : 0;
        auto link = takeLink(host.ip, id);
        link->send(fmt::format("{} /x HTTP/1.1\r\nHost: {}.example\r\nX-Acaciaslip-Request-Id: {}\r\n"
                               "X-Acaciaslip-Deadline-Ms: 1500\r\n{}\r\n{}",
                       idempotent ? "GET" : "POST", service, id, idempotent ? "" : "Content-Length: 2\r\n",
                       idempotent ? "" : "hi"),
            false);
    }

    /// Half of the requests use a connection that is open already, also while its process is being stopped.
    std::shared_ptr<http_link> takeLink(const std::string& ip, const std::string& id)
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
        const auto holder = std::make_shared<std::weak_ptr<http_link>>();
        transport::loop::link_callbacks callbacks;
        callbacks.isAwaited = [](const protocol::http::message&) { return true; };
        callbacks.answered = [this, ip, current, holder](const protocol::http::message& answer) {
            m_promises.answered(*current, answer.status, answer.body, !answer.endsWithConnection);
            m_tally.lateServed += m_late && answer.status == 200 ? 1 : 0;
            if (const auto link = holder->lock(); link && link->isIdle())
                m_idle[ip].emplace_back(link, current);
        };
        callbacks.failed = [](transport::loop::link_failure) {}; // promises nothing
        callbacks.idleClosed = [] {};
        auto made = http_link::open(
            &m_loop, *transport::loop::parseAddress(fmt::format("{}:{}", ip, callersPort)), {}, std::move(callbacks));
        *holder = made;
        m_links.push_back(made);
        return made;
    }

    void runFor(state::duration span)
    {
        bool over = false;
        timer limit(&m_loop, [&] { over = true; });
        limit.start(span);
        while (!over)
            uv_run(&m_loop, UV_RUN_ONCE);
    }

    bool finish()
    {
        m_over = true;
        m_healer.reset();
        for (auto& host : m_hosts)
            signalHost(host, SIGKILL);
        runFor(200ms);
        if (m_tally.lateServed < m_tally.lateSent * leastServedAfterwards)
            m_promises.breakPromise(fmt::format(
                "after all faults were healed {} of {} requests were served", m_tally.lateServed, m_tally.lateSent));
        for (const auto& link : m_links)
            link->close();
        runFor(50ms);
        std::string faults;
        for (const auto& [kind, count] : m_tally.faults)
            faults += fmt::format(" {}:{}", kind, count);
        fmt::print("seed {:<6} requests {:<6} served {:<6} refused {:<5} checks {:<6} broken {:<3} faults{}\n", m_seed,
            m_promises.requests(), m_promises.count(200), m_promises.count(503), m_promises.checked(),
            m_promises.broken().size(), faults);
        for (const auto& what : m_promises.broken())
            fmt::print("  BROKEN {}\n", what);
        const bool held = m_promises.broken().empty();
        if (held)
            std::filesystem::remove_all(m_folder);
        else
            fmt::print("  logs in {}\n", m_folder.string());
        std::fflush(stdout);
        return held;
    }

    std::mt19937 m_random;
    std::uint32_t m_seed;
    std::string m_program;
    state::duration m_length;
    uv_loop_t m_loop {};
    std::filesystem::path m_folder;
    promises m_promises;
    tally m_tally;
    std::unique_ptr<store_standin> m_store;
    std::unique_ptr<fault_proxy> m_storeProxy;
    std::vector<std::unique_ptr<server_standin>> m_servers;
    std::vector<std::unique_ptr<fault_proxy>> m_serverProxies;
    std::vector<gateway_host> m_hosts;
    std::map<std::string, std::vector<std::pair<std::shared_ptr<http_link>, std::shared_ptr<std::string>>>> m_idle;
    std::vector<std::shared_ptr<http_link>> m_links;
    std::unique_ptr<timer> m_callers;
    std::unique_ptr<timer> m_faults;
    std::unique_ptr<timer> m_healer;
    std::uint32_t m_version = 0;
    std::uint32_t m_sent = 0;
    bool m_late = false; ///< every fault is healed: requests must be served
    bool m_over = false;
};

} // namespace
} // namespace acaciaslip::soak

/// soak PROGRAM FIRST_SEED SEEDS SECONDS: runs real gateways under faults, one seed after the other.
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
    fmt::print("{} seeds, {} with a broken promise\n", seeds, broken);
    return broken == 0 ? 0 : 1;
}
