#include "standins/commands.hpp"
#include "standins/load_client.hpp"
#include "standins/options.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

namespace acaciaslip::standins {

namespace {

using load_clock = std::chrono::steady_clock;

struct load_options {
    std::vector<std::string> targets;
    request_shape shape;
    int rate = 1000; ///< requests per second over all connections; 0: no pause between requests
    int connections = 8;
    double seconds = 3; ///< duration of the run
};

struct load_result {
    std::map<std::string, int> counts; ///< number of answers by "status verdict", and of requests not sent
    std::vector<double> milliseconds;
};

void runConnection(const load_options& options, int index, load_result& total, std::mutex& mutex)
{
    load_client client(options.targets[static_cast<std::size_t>(index) % options.targets.size()]);
    load_result own;
    const auto start = load_clock::now();
    const auto end
        = start + std::chrono::duration_cast<load_clock::duration>(std::chrono::duration<double>(options.seconds));
    const std::chrono::duration<double> gap { options.rate > 0 ? static_cast<double>(options.connections) / options.rate
                                                               : 0 };
    for (int number = 0;; ++number) {
        const auto offset = gap * (number + static_cast<double>(index) / options.connections);
        const auto due
            = options.rate > 0 ? start + std::chrono::duration_cast<load_clock::duration>(offset) : load_clock::now();
        if (due >= end)
            break;
        std::this_thread::sleep_until(due);
        const auto sent = load_clock::now();
        if (sent >= end) {
            ++own.counts["not_sent"];
            continue;
        }
        const auto result
            = client.send(options.shape, fmt::format("{}-{}-{}", start.time_since_epoch().count(), index, number));
        own.milliseconds.push_back(std::chrono::duration<double, std::milli>(load_clock::now() - sent).count());
        ++own.counts[result];
    }
    const std::lock_guard lock(mutex);
    for (const auto& [answer, count] : own.counts)
        total.counts[answer] += count;
    total.milliseconds.insert(total.milliseconds.end(), own.milliseconds.begin(), own.milliseconds.end());
}

void print(load_result& result, const load_options& options)
{
    std::sort(result.milliseconds.begin(), result.milliseconds.end());
    for (const auto& [answer, count] : result.counts)
        fmt::print("{:<24} {:>8}\n", answer, count);
    fmt::print("requests/s {:.0f}  p50 {:.3f} ms  p99 {:.3f} ms  p99.9 {:.3f} ms\n",
        static_cast<double>(result.milliseconds.size()) / options.seconds, quantile(result.milliseconds, 0.5),
        quantile(result.milliseconds, 0.99), quantile(result.milliseconds, 0.999));
}

} // namespace

int runLoad(int argc, const char** argv)
{
    load_options options;
    char* targets = nullptr;
    char* path = nullptr;
    char* method = nullptr;
    int keys = 0;
    const poptOption table[] = {
        { "targets", 0, POPT_ARG_STRING, static_cast<void*>(&targets), 0, "comma-separated addresses", "IP:PORT,…" },
        { "path", 0, POPT_ARG_STRING, static_cast<void*>(&path), 0, "path of each request", "PATH" },
        { "method", 0, POPT_ARG_STRING, static_cast<void*>(&method), 0, "method of each request", "METHOD" },
        { "rate", 0, POPT_ARG_INT, &options.rate, 0, "requests per second; 0: no pause between requests", "N" },
        { "connections", 0, POPT_ARG_INT, &options.connections, 0, "keep-alive connections", "N" },
        { "seconds", 0, POPT_ARG_DOUBLE, &options.seconds, 0, "duration of the run", "S" },
        { "keys", 0, POPT_ARG_NONE, &keys, 0, "send a unique Idempotency-Key with each request", nullptr },
        POPT_AUTOHELP POPT_TABLEEND,
    };
    if (!readOptions(argc, argv, table) || targets == nullptr)
        return 2;
    options.shape.keys = keys != 0;
    options.shape.path = path != nullptr ? path : options.shape.path;
    options.shape.method = method != nullptr ? method : options.shape.method;
    std::stringstream list { targets };
    for (std::string target; std::getline(list, target, ',');)
        options.targets.push_back(target);
    load_result total;
    std::mutex mutex;
    std::vector<std::jthread> threads;
    threads.reserve(static_cast<std::size_t>(options.connections));
    for (int index = 0; index < options.connections; ++index)
        threads.emplace_back([&, index] { runConnection(options, index, total, mutex); });
    threads.clear();
    print(total, options);
    return 0;
}

} // namespace acaciaslip::standins
