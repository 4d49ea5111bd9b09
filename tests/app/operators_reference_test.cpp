#include "protocol/node_settings_reader.hpp"
#include "protocol/service_schema.hpp"
#include "transport/metrics.hpp"

#include <fstream>
#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace acaciaslip::app {
namespace {

class operators_reference_test : public testing::Test {
protected:
    void SetUp() override
    {
        std::stringstream text;
        text << std::ifstream(ACACIASLIP_EXAMPLES "/../docs/operators.md").rdbuf();
        m_page = text.str();
    }

    void expectDocumented(std::string_view word) const
    {
        EXPECT_NE(m_page.find('`' + std::string(word) + '`'), std::string::npos) << word;
    }

    std::string m_page;
};

TEST_F(operators_reference_test, SettingsKey_Any_IsDocumentedInReference)
{
    for (const auto key : protocol::nodeKeyNames())
        expectDocumented(key);
    for (const auto key : protocol::serviceKeyNames())
        expectDocumented(key);
}

TEST_F(operators_reference_test, Metric_Any_IsDocumentedInReference)
{
    const auto snapshot = protocol::copyNode(coordination::makeNode({}, 1, {}), {});
    for (const auto& family : transport::makeFamilies(snapshot, {}))
        expectDocumented(family.name);
}

} // namespace
} // namespace acaciaslip::app
