#include "coordination/property_simulation.hpp"

#include <cstdlib>

#include <gtest/gtest.h>

namespace acaciaslip::coordination {
namespace {

constexpr std::uint64_t defaultSeeds = 200;
constexpr int stepsWithFaults = 500; ///< 10 s
constexpr int stepsWithoutFaults = 350; ///< 7 s

std::uint64_t readVariable(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Runs the simulation with one seed.
/// \return descriptions of the violated invariants
std::vector<std::string> runSeed(std::uint64_t seed, void (invariant_checks::*finalCheck)())
{
    property_simulation simulation(seed);
    for (int step = 0; step < stepsWithFaults + stepsWithoutFaults && simulation.checks.violations.empty(); ++step) {
        if (step == stepsWithFaults)
            simulation.endFaults();
        simulation.step(step < stepsWithFaults);
    }
    if (simulation.checks.violations.empty())
        (simulation.checks.*finalCheck)();
    return simulation.checks.violations;
}

/// Runs the simulation with all seeds. The environment variable ACACIASLIP_SEED selects a single seed; ACACIASLIP_SEEDS
/// sets the number of seeds.
void runSeeds(void (invariant_checks::*finalCheck)())
{
    const auto only = readVariable("ACACIASLIP_SEED", 0);
    const auto last = only > 0 ? only : readVariable("ACACIASLIP_SEEDS", defaultSeeds);
    for (auto seed = only > 0 ? only : 1; seed <= last; ++seed) {
        for (const auto& line : runSeed(seed, finalCheck))
            ADD_FAILURE() << "ACACIASLIP_SEED=" << seed << " at " << line;
    }
}

TEST(property_test, Fleet_RandomOverlappingFaults_KeepsAllInvariants)
{
    runSeeds(&invariant_checks::checkAttemptsEnded);
}

TEST(property_test, Fleet_FaultsEnded_AllNodesReachNewestRevisions)
{
    runSeeds(&invariant_checks::checkNewestRevisions);
}

} // namespace
} // namespace acaciaslip::coordination
