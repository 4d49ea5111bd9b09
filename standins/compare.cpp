#include "standins/commands.hpp"
#include "standins/load_client.hpp"
#include "standins/options.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace acaciaslip::standins {

namespace {

using compare_clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds blockLength { 500 }; ///< time for which requests go to one side before the other
constexpr std::size_t sides = 2;
constexpr std::array<const char*, sides> sideNames { "direct", "node" };

struct compare_options {
    std::array<std::string, sides> targets;
    request_shape shape;
    int rate = 1000; ///< requests per second over all connections, sent to one side at a time
    int connections = 8;
    double seconds = 10; ///< measured time per side
};

struct side_result {
    std::map<std::string, int> counts; ///< number of answers by "status verdict"
    std::vector<double> milliseconds;
};

using compare_result = std::array<side_result, sides>;

/// Sends one connection's share of the requests, alternating between the sides.
compare_result runConnection(const compare_options& options, int index, compare_clock::time_point start)
{
    std::array<load_client, sides> clients { load_client(options.targets[0]), load_client(options.targets[1]) };
    compare_result result;
    const std::chrono::duration<double> gap { static_cast<double>(options.connections) / options.rate };
    const std::chrono::duration<double> length { sides * options.seconds };
    for (int number = 0;; ++number) {
        const auto offset = gap * (number + static_cast<double>(index) / options.connections);
        if (offset >= length)
            return result;
        std::this_thread::sleep_until(start + std::chrono::duration_cast<compare_clock::duration>(offset));
        const auto side = static_cast<std::size_t>(offset / blockLength) % sides;
        const auto sent = compare_clock::now();
        const auto answer = clients[side].send(
            options.shape, fmt::format("{}-{}-{}", sent.time_since_epoch().count(), index, number));
        const std::chrono::duration<double, std::milli> taken = compare_clock::now() - sent;
        result[side].milliseconds.push_back(taken.count());
        ++result[side].counts[answer];
    }
}

void add(compare_result& total, const compare_result& own)
{
    for (std::size_t side = 0; side < sides; ++side) {
        for (const auto& [answer, count] : own[side].counts)
            total[side].counts[answer] += count;
        auto& all = total[side].milliseconds;
        all.insert(all.end(), own[side].milliseconds.begin(), own[side].milliseconds.end());
    }
}

void print(compare_result& result)
{
    constexpr std::array<double, 3> shares { 0.5, 0.99, 0.999 };
    std::array<std::array<double, 3>, sides> quantiles {};
    for (std::size_t side = 0; side < sides; ++side) {
        auto& values = result[side].milliseconds;
        std::sort(values.begin(), values.end());
        for (std::size_t index = 0; index < shares.size(); ++index)
            quantiles[side][index] = quantile(values, shares[index]);
        fmt::print("{:<8} p50 {:.3f} ms  p99 {:.3f} ms  p99.9 {:.3f} ms ", sideNames[side], quantiles[side][0],
            quantiles[side][1], quantiles[side][2]);
        for (const auto& [answer, count] : result[side].counts)
            fmt::print(" [{} x {}]", answer, count);
        fmt::print("\n");
    }
    fmt::print("{:<8} p50 {:.3f} ms  p99 {:.3f} ms  p99.9 {:.3f} ms\n", "added", quantiles[1][0] - quantiles[0][0],
        quantiles[1][1] - quantiles[0][1], quantiles[1][2] - quantiles[0][2]);
}

void printMachineLoad()
{
    std::array<double, 1> load {};
    if (getloadavg(load.data(), 1) == 1)
        fmt::print("machine load average over the last minute {:.1f}, processors {}\n", load[0],
            std::thread::hardware_concurrency());
}

} // namespace

int runCompare(int argc, const char** argv)
{
    compare_options options;
    char* direct = nullptr;
    char* node = nullptr;
    char* path = nullptr;
    char* method = nullptr;
    const poptOption table[] = {
        { "direct", 0, POPT_ARG_STRING, static_cast<void*>(&direct), 0, "address of the server itself", "IP:PORT" },
        { "node", 0, POPT_ARG_STRING, static_cast<void*>(&node), 0, "address of a node's listener for callers",
            "IP:PORT" },
        { "path", 0, POPT_ARG_STRING, static_cast<void*>(&path), 0, "path of each request", "PATH" },
        { "method", 0, POPT_ARG_STRING, static_cast<void*>(&method), 0, "method of each request", "METHOD" },
        { "rate", 0, POPT_ARG_INT, &options.rate, 0, "requests per second", "N" },
        { "connections", 0, POPT_ARG_INT, &options.connections, 0, "keep-alive connections to each side", "N" },
        { "seconds", 0, POPT_ARG_DOUBLE, &options.seconds, 0, "measured time per side", "S" },
        POPT_AUTOHELP POPT_TABLEEND,
    };
    if (!readOptions(argc, argv, table) || direct == nullptr || node == nullptr || options.rate < 1
        || options.connections < 1)
        return 2;
    options.targets = { direct, node };
    options.shape.path = path != nullptr ? path : options.shape.path;
    options.shape.method = method != nullptr ? method : options.shape.method;
    compare_result total;
    std::mutex mutex;
    std::vector<std::jthread> threads;
    threads.reserve(static_cast<std::size_t>(options.connections));
    const auto start = compare_clock::now();
    for (int index = 0; index < options.connections; ++index) {
        threads.emplace_back([&, index] {
            const auto own = runConnection(options, index, start);
            const std::lock_guard lock(mutex);
            add(total, own);
        });
    }
    threads.clear();
    print(total);
    printMachineLoad();
    return 0;
}

} // namespace acaciaslip::standins
