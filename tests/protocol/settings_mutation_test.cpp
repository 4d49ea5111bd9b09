#include "mutation.hpp"
#include "protocol/fleet_settings_reader.hpp"
#include "protocol/node_settings_reader.hpp"
#include "protocol/settings_texts.hpp"

#include <set>

#include <gtest/gtest.h>
#include <pcg_random.hpp>

namespace acaciaslip::protocol {
namespace {

/// Reads randomly mutated texts; the seed is fixed.
class settings_mutation_test : public testing::Test {
protected:
    void mutate(std::string& text)
    {
        static constexpr std::string_view fragments[]
            = { "$", ":", "- ", "[", "]", "{", "}", "'", "\"", "\n", "  ", "&a ", "*a", "!!binary ", "~", "-1",
                  "99999999999999999999", "1e309", "\t", "\xff", "? ", "|", "---\n", "%YAML 9\n", "<<: ", "#" };
        mutateText(text, fragments, m_random);
    }

    static void expectValid(const state::fleet_settings& settings)
    {
        std::set<state::service_name> names;
        std::set<std::pair<std::string, std::string>> routes;
        for (const auto& service : settings.services) {
            EXPECT_FALSE(service.name.team.empty());
            EXPECT_FALSE(service.name.name.empty());
            EXPECT_TRUE(service.pathPrefix.starts_with('/'));
            EXPECT_GE(service.slots, 1U);
            EXPECT_GE(service.timeout, std::chrono::milliseconds { 1 });
            EXPECT_TRUE(names.insert(service.name).second);
            EXPECT_TRUE(routes.insert({ service.host, service.pathPrefix }).second);
        }
        std::set<std::string> ids;
        for (const auto& host : settings.hosts) {
            EXPECT_TRUE(ids.insert(host.id).second);
            EXPECT_FALSE(host.dataCentre.empty());
            EXPECT_TRUE(host.kind == state::host_kind::entry || !host.address.empty());
        }
    }

    pcg32 m_random { 20'261'204 };
};

TEST_F(settings_mutation_test, PublishedValues_Mutated_AreValidOrRejectedWithPosition)
{
    int rejected = 0;
    int accepted = 0;
    for (int round = 0; round < 4000; ++round) {
        auto bodies = makeValidBodies();
        auto mutated = std::next(bodies.begin(), static_cast<std::ptrdiff_t>(m_random(bodies.size())));
        for (std::uint32_t times = 1 + m_random(2); times > 0; --times)
            mutate(mutated->second);
        const auto settings = readFleetSettings(bodies);
        if (settings.ok()) {
            ++accepted;
            expectValid(*settings);
        } else {
            ++rejected;
            EXPECT_TRUE(settings.status().message().find("acaciaslip/") == 0) << settings.status().message();
        }
    }
    EXPECT_GT(rejected, 1000);
    EXPECT_GT(accepted, 100);
}

TEST_F(settings_mutation_test, RepeatedCharacter_MaximumSize_IsRejected)
{
    for (const char character : { '[', '{', '-', '?', '"', '&' }) {
        std::string text(maxDocumentBytes, character);
        EXPECT_FALSE(readFleetSettings({ { "acaciaslip/hosts", text } }).ok()) << character;
        for (std::size_t at = 1; at < text.size(); at += 2)
            text[at] = ' ';
        EXPECT_FALSE(readFleetSettings({ { "acaciaslip/hosts", text } }).ok()) << character;
    }
}

TEST_F(settings_mutation_test, NodeText_Mutated_IsValidOrRejectedWithPosition)
{
    for (int round = 0; round < 4000; ++round) {
        auto text = makeValidNodeText();
        for (std::uint32_t times = 1 + m_random(4); times > 0; --times)
            mutate(text);
        const auto settings = readNodeSettings(text, "node.yaml");
        if (settings.ok()) {
            EXPECT_FALSE(settings->id.empty());
            EXPECT_FALSE(settings->platformAddresses.empty());
        } else {
            EXPECT_TRUE(settings.status().message().find("node.yaml:") == 0) << settings.status().message();
        }
    }
}

} // namespace
} // namespace acaciaslip::protocol
