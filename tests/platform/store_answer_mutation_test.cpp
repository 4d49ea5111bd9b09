#include "platform/item_reader.hpp"
#include "platform/store_answer.hpp"

#include <vector>

#include <gtest/gtest.h>
#include <pcg_random.hpp>

namespace acaciaslip::platform {
namespace {

using nlohmann::json;

/// Reads answers whose structure was changed at random; the seed is fixed.
class store_answer_mutation_test : public testing::Test {
protected:
    json randomValue()
    {
        switch (m_random(9)) {
        case 0:
            return nullptr;
        case 1:
            return m_random(2) == 0;
        case 2:
            return -1;
        case 3:
            return 1e300;
        case 4:
            return UINT64_MAX;
        case 5:
            return "text";
        case 6:
            return json::array({ 1, "a", nullptr });
        case 7:
            return json::object({ { "key", 7 } });
        default:
            return "";
        }
    }

    /// Replaces, drops or duplicates one value at a random depth.
    void mutate(json& value)
    {
        if (value.is_structured() && !value.empty() && m_random(4) != 0) {
            auto chosen = value.begin();
            std::advance(chosen, m_random(static_cast<std::uint32_t>(value.size())));
            if (m_random(8) == 0)
                value.erase(chosen);
            else if (m_random(8) == 0 && value.is_array())
                value.push_back(json(*chosen));
            else
                mutate(*chosen);
            return;
        }
        value = randomValue();
    }

    pcg32 m_random { 20'261'204 };
};

TEST_F(store_answer_mutation_test, Answers_StructureChanged_AreReadOrRejected)
{
    const auto original = json::parse(R"({"as-of":9,"has-more":true,"items":[
        {"key":"op/config","revision":5,"created":1,"lease":0,"value":"eyJ2ZXJzaW9uIjoiMDAwMDAwMGMifQ=="},
        {"key":"op/evacuate/a","revision":6,"created":1,"lease":0,"value":"e30="},
        {"key":"servers/i-1","revision":7,"compacted":true},
        {"key":"servers/i-2","revision":8,"created":1,"lease":3,"value":"eyJpbmZvIjp7fSwic3RhdHVzIjp7fX0="}]})");
    int accepted = 0;
    int rejected = 0;
    for (int round = 0; round < 20000; ++round) {
        auto changed = original;
        for (std::uint32_t change = 0; change <= m_random(3); ++change)
            mutate(changed);
        auto text = changed.dump();
        if (m_random(4) == 0)
            text.resize(m_random(static_cast<std::uint32_t>(text.size() + 1)));
        const auto read = readStoreAnswer(text, "items", "op/");
        ++(read.ok() ? accepted : rejected);
        if (!read.ok())
            continue;
        EXPECT_TRUE(!read->nextPageAfter || *read->nextPageAfter > "op/") << text;
        state::gateway::published_fleet fleet;
        for (const auto& item : read->items)
            (void)addItem(item, fleet);
    }
    EXPECT_GT(accepted, 1000);
    EXPECT_GT(rejected, 1000);
}

} // namespace
} // namespace acaciaslip::platform
