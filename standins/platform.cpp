#include "standins/commands.hpp"
#include "standins/options.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace acaciaslip::standins {

namespace {

constexpr int statusNotModified = 304;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

struct stored_value {
    std::uint64_t revision = 0;
    std::string body;
};

struct platform_state {
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, stored_value> values;
    std::uint64_t calls = 0;
    bool down = false; ///< reads are answered with 503
};

/// Loads every file FOLDER/KEY.yaml as the value of KEY with revision 1.
void loadFolder(platform_state& platform, const std::filesystem::path& folder)
{
    for (const auto& entry : std::filesystem::recursive_directory_iterator(folder)) {
        if (entry.path().extension() != ".yaml")
            continue;
        std::ifstream file(entry.path());
        std::stringstream text;
        text << file.rdbuf();
        auto key = std::filesystem::relative(entry.path(), folder);
        platform.values[key.replace_extension().string()] = { 1, text.str() };
    }
}

void readValue(platform_state& platform, const httplib::Request& request, httplib::Response& response)
{
    const std::string key = request.matches[1];
    const auto after = request.has_param("after") ? std::stoull(request.get_param_value("after")) : 0;
    const std::chrono::milliseconds wait { request.has_param("wait_ms") ? std::stoi(request.get_param_value("wait_ms"))
                                                                        : 0 };
    std::unique_lock lock(platform.mutex);
    ++platform.calls;
    const auto isNewer = [&] {
        const auto found = platform.values.find(key);
        return found != platform.values.end() && found->second.revision > after;
    };
    platform.changed.wait_for(lock, wait, [&] { return platform.down || isNewer(); });
    if (platform.down)
        response.status = statusUnavailable;
    else if (!platform.values.contains(key))
        response.status = statusNotFound;
    else if (!isNewer())
        response.status = statusNotModified;
    else {
        const auto& value = platform.values[key];
        response.set_header("Revision", std::to_string(value.revision));
        response.set_content(value.body, "application/yaml");
    }
}

void storeValue(platform_state& platform, const httplib::Request& request, httplib::Response& response)
{
    const std::lock_guard lock(platform.mutex);
    auto& value = platform.values[request.matches[1]];
    value.revision
        = request.has_param("revision") ? std::stoull(request.get_param_value("revision")) : value.revision + 1;
    value.body = request.body;
    response.set_content(std::to_string(value.revision), "text/plain");
    platform.changed.notify_all();
}

} // namespace

int runPlatform(int argc, const char** argv)
{
    char* listen = nullptr;
    char* folder = nullptr;
    const poptOption options[] = {
        { "listen", 0, POPT_ARG_STRING, static_cast<void*>(&listen), 0, "address to listen on", "IP:PORT" },
        { "values", 0, POPT_ARG_STRING, static_cast<void*>(&folder), 0, "folder of KEY.yaml files", "FOLDER" },
        POPT_AUTOHELP POPT_TABLEEND,
    };
    if (!readOptions(argc, argv, options) || listen == nullptr)
        return 2;
    platform_state platform;
    if (folder != nullptr)
        loadFolder(platform, folder);
    std::string ip;
    const int port = splitAddress(listen, ip);
    constexpr std::size_t connections = 512;
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(connections); };
    server.set_tcp_nodelay(true);
    server.Get(R"(/v1/values/(.+))",
        [&](const httplib::Request& request, httplib::Response& response) { readValue(platform, request, response); });
    server.Put(R"(/standin/values/(.+))",
        [&](const httplib::Request& request, httplib::Response& response) { storeValue(platform, request, response); });
    server.Post(R"(/standin/down/([01]))", [&](const httplib::Request& request, httplib::Response&) {
        const std::lock_guard lock(platform.mutex);
        platform.down = request.matches[1] == "1";
        platform.changed.notify_all();
    });
    server.Get("/standin/stats", [&](const httplib::Request&, httplib::Response& response) {
        const std::lock_guard lock(platform.mutex);
        response.set_content(nlohmann::json { { "calls", platform.calls } }.dump(), "application/json");
    });
    return server.listen(ip, port) ? 0 : 1;
}

} // namespace acaciaslip::standins
