#include "coordination/property_world.hpp"

#include <cstdlib>

#include <gtest/gtest.h>

namespace acaciaslip::coordination {
namespace {

constexpr std::uint64_t usualSeeds = 200;
constexpr int faultySteps = 500; ///< 10 s
constexpr int quietSteps = 350; ///< 7 s

std::uint64_t readVariable(const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

/// \return the promises that the seed broke
std::vector<std::string> runSeed(std::uint64_t seed, void (promise_checks::*checkAtEnd)())
{
    property_world world(seed);
    for (int step = 0; step < faultySteps + quietSteps && world.checks.broken.empty(); ++step) {
        if (step == faultySteps)
            world.heal();
        world.step(step < faultySteps);
    }
    if (world.checks.broken.empty())
        (world.checks.*checkAtEnd)();
    return world.checks.broken;
}

/// ACACIASLIP_SEED replays one seed, ACACIASLIP_SEEDS sets how many are run.
void runSeeds(void (promise_checks::*checkAtEnd)())
{
    const auto only = readVariable("ACACIASLIP_SEED", 0);
    const auto last = only > 0 ? only : readVariable("ACACIASLIP_SEEDS", usualSeeds);
    for (auto seed = only > 0 ? only : 1; seed <= last; ++seed) {
        for (const auto& line : runSeed(seed, checkAtEnd))
            ADD_FAILURE() << "ACACIASLIP_SEED=" << seed << " at " << line;
    }
}

TEST(property_test, Nodes_FaultsTogetherAndTwice_KeepEveryPromise)
{
    runSeeds(&promise_checks::checkQuiet);
}

TEST(property_test, Nodes_FaultsOver_HaveNewestRevisionsWithinSeconds)
{
    runSeeds(&promise_checks::checkSpread);
}

} // namespace
} // namespace acaciaslip::coordination
