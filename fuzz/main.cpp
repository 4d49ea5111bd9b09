#include "fuzz/targets.hpp"
#include "mutation.hpp"

#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include <fmt/format.h>
#include <unistd.h>

namespace acaciaslip::fuzz {
namespace {

constexpr std::uint32_t mostChanges = 6;
constexpr std::uint64_t roundsPerTurn = 200; ///< of one target before the next one

/// Inputs depend on the seed and the round alone, so that a single round can be repeated.
std::string makeInput(const target& from, pcg32& random)
{
    auto input = from.samples[random(static_cast<std::uint32_t>(from.samples.size()))];
    for (auto changes = random(mostChanges); changes > 0; --changes)
        mutateText(input, from.fragments, random);
    return input;
}

/// Command that repeats the current round, printed if it ends the process.
std::array<char, 128> currentRound {};

void reportRound(int signal)
{
    (void)!::write(STDERR_FILENO, currentRound.data(), std::strlen(currentRound.data()));
    (void)std::signal(signal, SIG_DFL);
    (void)std::raise(signal);
}

void runRound(const target& tested, std::uint64_t seed, std::uint64_t round)
{
    const auto end = fmt::format_to_n(currentRound.data(), currentRound.size() - 1,
        "repeat with: acaciaslip_fuzz {} 0 {} {}\n", seed, tested.name, round);
    *end.out = '\0';
    pcg32 random { seed, round };
    const auto input = makeInput(tested, random);
    tested.read(input, random);
}

int runFor(std::uint64_t seed, std::chrono::seconds length)
{
    const auto end = std::chrono::steady_clock::now() + length;
    std::uint64_t rounds = 0;
    for (; std::chrono::steady_clock::now() < end; rounds += roundsPerTurn) {
        for (const auto& tested : allTargets()) {
            for (std::uint64_t round = rounds; round < rounds + roundsPerTurn; ++round)
                runRound(tested, seed, round);
        }
    }
    fmt::print("seed {}: {} inputs for each of {} readers, all read or rejected\n", seed, rounds, allTargets().size());
    return 0;
}

int repeatRound(std::uint64_t seed, std::string_view name, std::uint64_t round)
{
    for (const auto& tested : allTargets()) {
        if (tested.name != name)
            continue;
        pcg32 random { seed, round };
        fmt::print("{}\n", makeInput(tested, random));
        std::fflush(stdout);
        runRound(tested, seed, round);
        return 0;
    }
    fmt::print(stderr, "no reader is named {}\n", name);
    return 2;
}

} // namespace
} // namespace acaciaslip::fuzz

/// Usage: acaciaslip_fuzz SEED SECONDS [READER ROUND]. Feeds mutated inputs to every parser of external data, or
/// repeats one round and prints its input. A crash or a broken promise ends the process.
int main(int argc, char** argv)
{
    if (argc != 3 && argc != 5) {
        fmt::print(stderr, "usage: {} SEED SECONDS [READER ROUND]\n", argv[0]);
        return 2;
    }
    for (const int signal : { SIGABRT, SIGSEGV, SIGFPE, SIGBUS })
        (void)std::signal(signal, acaciaslip::fuzz::reportRound);
    const auto seed = std::strtoull(argv[1], nullptr, 10);
    if (argc == 5)
        return acaciaslip::fuzz::repeatRound(seed, argv[3], std::strtoull(argv[4], nullptr, 10));
    return acaciaslip::fuzz::runFor(seed, std::chrono::seconds { std::strtol(argv[2], nullptr, 10) });
}
