#include "standins/commands.hpp"
#include "standins/options.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace acaciaslip::standins {

namespace {

constexpr int statusUnavailable = 503;
constexpr int coldCapacityDivisor = 4;

/// State of the server: its slots, the queue for them, and counters of the requests that ran.
struct server_state {
    std::mutex mutex;
    std::condition_variable freed;
    std::string id;
    std::string boot;
    int slots = 4;
    int maxQueued = 64;
    double serviceMilliseconds = 2;
    std::chrono::steady_clock::time_point warmAt;
    bool draining = false;
    int inFlight = 0;
    int queued = 0;
    int mostInFlight = 0;
    std::uint64_t ran = 0;
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t probes = 0;
    std::map<std::string, int> runsByKey;

    [[nodiscard]] bool isCold() const { return std::chrono::steady_clock::now() < warmAt; }
};

void shed(server_state& server, httplib::Response& response)
{
    ++server.shed;
    response.status = statusUnavailable;
    response.set_header("Acaciaslip-Not-Run", "1");
    response.set_content("shed\n", "text/plain");
}

void run(server_state& server, const httplib::Request& request, httplib::Response& response)
{
    response.set_header("Acaciaslip-Request", request.get_header_value("Acaciaslip-Request"));
    std::unique_lock lock(server.mutex);
    const int limit = server.isCold() ? std::max(1, server.slots / coldCapacityDivisor) : server.slots;
    if (server.draining || server.queued >= server.maxQueued || (server.isCold() && server.inFlight >= limit))
        return shed(server, response);
    ++server.queued;
    server.freed.wait(lock, [&] { return server.inFlight < server.slots; });
    --server.queued;
    server.mostInFlight = std::max(server.mostInFlight, ++server.inFlight);
    ++server.ran;
    const auto key = request.get_header_value("Idempotency-Key");
    if (!key.empty())
        ++server.runsByKey[key];
    const std::chrono::duration<double, std::milli> time { server.serviceMilliseconds };
    lock.unlock();
    std::this_thread::sleep_for(time);
    lock.lock();
    --server.inFlight;
    server.freed.notify_one();
    response.set_content(
        nlohmann::json { { "server", server.id }, { "path", request.path }, { "body", request.body } }.dump(),
        "application/json");
}

nlohmann::json describe(const server_state& server)
{
    int keysRunTwice = 0;
    for (const auto& [key, runs] : server.runsByKey)
        keysRunTwice += runs > 1 ? 1 : 0;
    return { { "ran", server.ran }, { "shed", server.shed }, { "cancelled", server.cancelled },
        { "probes", server.probes }, { "most_in_flight", server.mostInFlight }, { "keys", server.runsByKey },
        { "keys_run_twice", keysRunTwice } };
}

void change(server_state& server, const httplib::Request& request)
{
    if (request.has_param("service_ms"))
        server.serviceMilliseconds = std::stod(request.get_param_value("service_ms"));
    if (request.has_param("draining"))
        server.draining = request.get_param_value("draining") == "1";
    if (request.has_param("cold_ms"))
        server.warmAt = std::chrono::steady_clock::now()
            + std::chrono::milliseconds { std::stoi(request.get_param_value("cold_ms")) };
}

void addPlatformEndpoints(httplib::Server& httpServer, server_state& server)
{
    httpServer.Get("/acaciaslip/health", [&](const httplib::Request&, httplib::Response& response) {
        const std::lock_guard lock(server.mutex);
        ++server.probes;
        const char* state = server.draining ? "draining" : (server.isCold() ? "cold" : "live");
        response.set_content(nlohmann::json { { "state", state } }.dump(), "application/json");
    });
    httpServer.Get("/acaciaslip/load", [&](const httplib::Request&, httplib::Response& response) {
        const std::lock_guard lock(server.mutex);
        ++server.probes;
        response.set_content(nlohmann::json { { "in_flight", server.inFlight }, { "queued", server.queued },
                                 { "slots", server.slots }, { "boot", server.boot } }
                                 .dump(),
            "application/json");
    });
    httpServer.Post("/acaciaslip/cancel", [&](const httplib::Request&, httplib::Response&) {
        const std::lock_guard lock(server.mutex);
        ++server.cancelled;
    });
    httpServer.Get("/standin/stats", [&](const httplib::Request&, httplib::Response& response) {
        const std::lock_guard lock(server.mutex);
        response.set_content(describe(server).dump(), "application/json");
    });
    httpServer.Post("/standin/set", [&](const httplib::Request& request, httplib::Response&) {
        const std::lock_guard lock(server.mutex);
        change(server, request);
    });
}

/// An HTTP server with a larger listen backlog than the library's default of 5. When the backlog is full, the kernel
/// ignores the last packet of a handshake, and data sent on that connection is delayed by one second.
class large_backlog_server final : public httplib::Server {
public:
    bool listenWithLargeBacklog(const std::string& ip, int port)
    {
        constexpr int backlog = 1024;
        return bind_to_port(ip, port) && ::listen(svr_sock_, backlog) == 0 && listen_after_bind();
    }
};

} // namespace

int runServer(int argc, const char** argv)
{
    char* listen = nullptr;
    char* id = nullptr;
    server_state server;
    int coldMilliseconds = 0;
    const poptOption options[] = {
        { "listen", 0, POPT_ARG_STRING, static_cast<void*>(&listen), 0, "address to listen on", "IP:PORT" },
        { "id", 0, POPT_ARG_STRING, static_cast<void*>(&id), 0, "server id in answers", "ID" },
        { "slots", 0, POPT_ARG_INT, &server.slots, 0, "maximum number of concurrent requests", "N" },
        { "queue", 0, POPT_ARG_INT, &server.maxQueued, 0, "maximum number of requests waiting for a slot", "N" },
        { "service-ms", 0, POPT_ARG_DOUBLE, &server.serviceMilliseconds, 0, "service time of a request", "MS" },
        { "cold-ms", 0, POPT_ARG_INT, &coldMilliseconds, 0, "time after start for which the server is cold", "MS" },
        POPT_AUTOHELP POPT_TABLEEND,
    };
    if (!readOptions(argc, argv, options) || listen == nullptr || id == nullptr)
        return 2;
    server.id = id;
    const auto started = std::chrono::steady_clock::now();
    server.boot = fmt::format("{}-{}", server.id, started.time_since_epoch().count());
    server.warmAt = started + std::chrono::milliseconds { coldMilliseconds };
    std::string ip;
    const int port = splitAddress(listen, ip);
    constexpr std::size_t connections = 256;
    large_backlog_server httpServer;
    httpServer.new_task_queue = [] { return new httplib::ThreadPool(connections); };
    httpServer.set_tcp_nodelay(true);
    httpServer.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
    httpServer.set_keep_alive_timeout(60);
    addPlatformEndpoints(httpServer, server);
    const auto handler
        = [&](const httplib::Request& request, httplib::Response& response) { run(server, request, response); };
    httpServer.Get(".*", handler);
    httpServer.Post(".*", handler);
    httpServer.Put(".*", handler);
    httpServer.Patch(".*", handler);
    httpServer.Delete(".*", handler);
    httpServer.Options(".*", handler);
    return httpServer.listenWithLargeBacklog(ip, port) ? 0 : 1;
}

} // namespace acaciaslip::standins
