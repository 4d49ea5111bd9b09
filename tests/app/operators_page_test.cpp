#include "protocol/node_settings_reader.hpp"
#include "protocol/service_schema.hpp"
#include "transport/metrics.hpp"

#include <fstream>
#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace acaciaslip::app {
namespace {

class operators_page_test : public testing::Test {
protected:
    void SetUp() override
    {
        std::stringstream text;
        text << std::ifstream(ACACIASLIP_EXAMPLES "/../docs/operators.md").rdbuf();
        m_page = text.str();
    }

    void expectNamed(std::string_view word) const
    {
        EXPECT_NE(m_page.find('`' + std::string(word) + '`'), std::string::npos) << word;
    }

    std::string m_page;
};

TEST_F(operators_page_test, Key_OfAnySettings_StandsInTheReference)
{
    for (const auto key : protocol::nodeKeyNames())
        expectNamed(key);
    for (const auto key : protocol::serviceKeyNames())
        expectNamed(key);
}

TEST_F(operators_page_test, Metric_Any_StandsInTheReference)
{
    const auto snapshot = protocol::copyNode(coordination::makeNode({}, 1, {}), {});
    for (const auto& family : transport::makeFamilies(snapshot, {}))
        expectNamed(family.name);
}

} // namespace
} // namespace acaciaslip::app
