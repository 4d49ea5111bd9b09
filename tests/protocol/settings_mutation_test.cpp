#include "protocol/fleet_settings_reader.hpp"
#include "protocol/node_settings_reader.hpp"
#include "protocol/settings_texts.hpp"

#include <set>

#include <gtest/gtest.h>
#include <pcg_random.hpp>

namespace acaciaslip::protocol {
namespace {

/// Reads texts that are wrong in random ways, from a fixed seed.
class settings_mutation_test : public testing::Test {
protected:
    void mutate(std::string& text)
    {
        static constexpr std::string_view pieces[]
            = { "$", ":", "- ", "[", "]", "{", "}", "'", "\"", "\n", "  ", "&a ", "*a", "!!binary ", "~", "-1",
                  "99999999999999999999", "1e309", "\t", "\xff", "? ", "|", "---\n", "%YAML 9\n", "<<: ", "#" };
        const auto at = text.empty() ? 0 : m_random(static_cast<std::uint32_t>(text.size()));
        const auto piece = pieces[m_random(std::size(pieces))];
        switch (m_random(5)) {
        case 0:
            text.erase(at, 1 + m_random(8));
            break;
        case 1:
            text.insert(at, piece);
            break;
        case 2:
            if (!text.empty())
                text[at] = static_cast<char>(m_random(256));
            break;
        case 3:
            text.insert(at, text.substr(m_random(static_cast<std::uint32_t>(text.size() + 1)), 40));
            break;
        default:
            text.replace(at, std::min<std::size_t>(piece.size(), text.size() - at), piece);
        }
    }

    static void expectWhole(const state::fleet_settings& settings)
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

TEST_F(settings_mutation_test, PublishedValues_Mutated_AreTakenWholeOrRefusedWithAPlace)
{
    int refused = 0;
    int taken = 0;
    for (int round = 0; round < 4000; ++round) {
        auto bodies = makeValidBodies();
        auto victim = std::next(bodies.begin(), static_cast<std::ptrdiff_t>(m_random(bodies.size())));
        for (std::uint32_t times = 1 + m_random(2); times > 0; --times)
            mutate(victim->second);
        const auto settings = readFleetSettings(bodies);
        if (settings.ok()) {
            ++taken;
            expectWhole(*settings);
        } else {
            ++refused;
            EXPECT_TRUE(settings.status().message().find("acaciaslip/") == 0) << settings.status().message();
        }
    }
    EXPECT_GT(refused, 1000);
    EXPECT_GT(taken, 100);
}

TEST_F(settings_mutation_test, OpenBrackets_AMegabyteOfThem_AreRefused)
{
    for (const char letter : { '[', '{', '-', '?', '"', '&' }) {
        std::string text(maxDocumentBytes, letter);
        EXPECT_FALSE(readFleetSettings({ { "acaciaslip/hosts", text } }).ok()) << letter;
        for (std::size_t at = 1; at < text.size(); at += 2)
            text[at] = ' ';
        EXPECT_FALSE(readFleetSettings({ { "acaciaslip/hosts", text } }).ok()) << letter;
    }
}

TEST_F(settings_mutation_test, NodeText_Mutated_IsTakenWholeOrRefusedWithAPlace)
{
    for (int round = 0; round < 4000; ++round) {
        auto text = makeValidNodeText();
        for (std::uint32_t times = 1 + m_random(4); times > 0; --times)
            mutate(text);
        const auto settings = readNodeSettings(text, "node.yaml");
        if (settings.ok()) {
            EXPECT_FALSE(settings->id.empty());
            EXPECT_FALSE(settings->platform.empty());
        } else {
            EXPECT_TRUE(settings.status().message().find("node.yaml:") == 0) << settings.status().message();
        }
    }
}

} // namespace
} // namespace acaciaslip::protocol
