#include "protocol/fleet_settings_reader.hpp"

#include "protocol/settings_texts.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace acaciaslip::protocol {
namespace {

using testing::HasSubstr;

class fleet_settings_reader_test : public testing::Test {
protected:
    [[nodiscard]] std::string errorOf() const
    {
        const auto settings = readFleetSettings(m_bodies);
        return settings.ok() ? "accepted" : std::string(settings.status().message());
    }

    /// Replaces part of a value; the part must occur in it.
    void replace(const std::string& key, const std::string& part, const std::string& replacement)
    {
        auto& body = m_bodies.at(key);
        const auto at = body.find(part);
        ASSERT_NE(at, std::string::npos) << part;
        body.replace(at, part.size(), replacement);
    }

    std::map<state::value_key, std::string> m_bodies = makeValidBodies();
    const std::string m_team = "acaciaslip/teams/kierdicht";
    const std::string m_templates = "acaciaslip/templates";
    const std::string m_hosts = "acaciaslip/hosts";
};

TEST_F(fleet_settings_reader_test, Values_Valid_AllSettingsAreRead)
{
    const auto settings = readFleetSettings(m_bodies);
    ASSERT_TRUE(settings.ok()) << settings.status().message();
    ASSERT_EQ(settings->services.size(), 2U);
    const auto& booking = settings->services[0];
    EXPECT_EQ(booking.name, (state::service_name { "kierdicht", "bookings" }));
    EXPECT_EQ(booking.pathPrefix, "/bookings");
    EXPECT_EQ(booking.slots, 4U);
    EXPECT_EQ(booking.idempotent, state::idempotency::never);
    const auto& lookup = settings->services[1];
    EXPECT_EQ(lookup.timeout, std::chrono::milliseconds { 800 });
    EXPECT_TRUE(lookup.hedge);
    EXPECT_DOUBLE_EQ(lookup.hedgeShare, 0.02);
    EXPECT_EQ(settings->evacuatedDataCentres, std::vector<std::string> { "dc-b" });
    ASSERT_EQ(settings->hosts.size(), 2U);
    EXPECT_EQ(settings->hosts[1].listing, state::host_listing::leaving);
    EXPECT_EQ(settings->indexedRevisions.at("acaciaslip/hosts"), 7U);
}

TEST_F(fleet_settings_reader_test, Parameter_Given_OverridesDefault)
{
    replace(m_team, "path: /bookings", "path: /bookings, slots: 2");
    EXPECT_EQ(readFleetSettings(m_bodies)->services[0].slots, 2U);
}

TEST_F(fleet_settings_reader_test, Key_Unknown_IsRejectedWithSuggestion)
{
    replace(m_templates, "timeout_ms", "timeuot_ms");
    EXPECT_THAT(
        errorOf(), HasSubstr("acaciaslip/templates:6:46: unknown key 'timeuot_ms' (did you mean 'timeout_ms'?)"));
}

TEST_F(fleet_settings_reader_test, Errors_Several_AreReportedTogetherInOrder)
{
    replace(m_templates, "800", "soon");
    replace(m_team, "path: /routes", "path: routes");
    replace(m_hosts, "10.0.0.1:80", "10.0.0.1");
    const auto error = errorOf();
    const auto hosts = error.find("acaciaslip/hosts:1:");
    const auto team = error.find("acaciaslip/teams/kierdicht:4:");
    const auto templates = error.find("acaciaslip/templates:6:");
    EXPECT_LT(hosts, team) << error;
    EXPECT_LT(team, templates) << error;
    EXPECT_NE(templates, std::string::npos) << error;
}

TEST_F(fleet_settings_reader_test, TemplateError_TemplateUsedTwice_IsReportedOnce)
{
    replace(m_templates, "800", "0");
    m_bodies[m_team] += "  - {use: lookup, with: {name: archive, path: /archive}}\n";
    const auto error = errorOf();
    EXPECT_EQ(error.find("'0' is out of range"), error.rfind("'0' is out of range")) << error;
}

TEST_F(fleet_settings_reader_test, Key_Duplicate_IsRejected)
{
    m_bodies[m_team] += "team: kierdicht\n";
    EXPECT_THAT(errorOf(), HasSubstr("acaciaslip/teams/kierdicht:5:1: the key 'team' is given twice"));
}

TEST_F(fleet_settings_reader_test, Template_Unknown_IsRejectedWithSuggestion)
{
    replace(m_team, "use: booking", "use: bookin");
    EXPECT_THAT(errorOf(), HasSubstr("'bookin' is not known here (did you mean 'booking'?)"));
}

TEST_F(fleet_settings_reader_test, Templates_Missing_AreRejectedInsteadOfReadAsNoServices)
{
    m_bodies.erase(m_templates);
    EXPECT_THAT(errorOf(), HasSubstr("provide 'acaciaslip/templates' as well"));
}

TEST_F(fleet_settings_reader_test, Parameter_Missing_IsRejected)
{
    replace(m_team, ", path: /bookings", "");
    EXPECT_THAT(errorOf(), HasSubstr("the template 'booking' needs 'path'"));
}

TEST_F(fleet_settings_reader_test, Parameter_Unknown_IsRejected)
{
    replace(m_team, "path: /routes", "path: /routes, slots: 3");
    EXPECT_THAT(errorOf(), HasSubstr("unknown key 'slots'"));
}

TEST_F(fleet_settings_reader_test, ParameterReference_Unknown_IsRejected)
{
    replace(m_templates, "slots: $slots", "slots: $slot");
    EXPECT_THAT(errorOf(), HasSubstr("'$slot' is not a parameter (did you mean 'slots'?)"));
}

TEST_F(fleet_settings_reader_test, Argument_OutOfRange_IsReportedAtItsPositionInTheTeam)
{
    replace(m_team, "path: /bookings", "path: /bookings, slots: 0");
    EXPECT_THAT(errorOf(), HasSubstr("acaciaslip/teams/kierdicht:3:67: '0' is out of range; write 1 to 1024"));
}

TEST_F(fleet_settings_reader_test, Route_DuplicateAcrossTeams_IsRejected)
{
    m_bodies["acaciaslip/teams/tbilisi"]
        = "team: tbilisi\nservices: [{use: lookup, with: {name: map, path: /routes}}]\n";
    EXPECT_THAT(errorOf(), HasSubstr("the route '/routes' is already used by kierdicht/routes"));
}

TEST_F(fleet_settings_reader_test, ServiceName_DuplicateWithinTeam_IsRejected)
{
    replace(m_team, "name: routes", "name: bookings");
    EXPECT_THAT(errorOf(), HasSubstr("has two services named 'bookings'"));
}

TEST_F(fleet_settings_reader_test, Team_DiffersFromKey_IsRejected)
{
    replace(m_team, "team: kierdicht", "team: tbilisi");
    EXPECT_THAT(errorOf(), HasSubstr("write team: kierdicht"));
}

TEST_F(fleet_settings_reader_test, HostId_Duplicate_IsRejected)
{
    replace(m_hosts, "id: e1", "id: b1");
    EXPECT_THAT(errorOf(), HasSubstr("the host 'b1' is already listed in line 1"));
}

TEST_F(fleet_settings_reader_test, HostList_UnknownService_IsAccepted)
{
    replace(m_hosts, "service: bookings", "service: not-yet");
    EXPECT_EQ(errorOf(), "accepted");
}

TEST_F(fleet_settings_reader_test, HostList_EmptyText_IsRejected)
{
    m_bodies[m_hosts] = "";
    EXPECT_THAT(errorOf(), HasSubstr("acaciaslip/hosts:1:1: found nothing instead of a list"));
}

TEST_F(fleet_settings_reader_test, Anchor_InHostList_IsRejected)
{
    m_bodies[m_hosts] = "- &a [x, x]\n- [*a, *a]\n";
    EXPECT_THAT(errorOf(), HasSubstr("anchors are not supported"));
}

TEST_F(fleet_settings_reader_test, Nesting_TooDeep_IsRejected)
{
    m_bodies[m_hosts] = std::string(50, '[') + std::string(50, ']');
    EXPECT_THAT(errorOf(), HasSubstr("nested deeper than"));
}

TEST_F(fleet_settings_reader_test, Value_TooLong_IsRejected)
{
    m_bodies[m_hosts] += std::string(maxDocumentBytes, '#');
    EXPECT_THAT(errorOf(), HasSubstr("exceed the limit of"));
}

TEST_F(fleet_settings_reader_test, Errors_AboveLimit_AreCounted)
{
    std::string list;
    for (int index = 0; index < 200; ++index)
        list += "- 7\n";
    m_bodies[m_hosts] = list;
    EXPECT_THAT(errorOf(), HasSubstr("and 150 more"));
}

TEST_F(fleet_settings_reader_test, Cache_OneValueChanges_ReturnsSameResultAsFreshRead)
{
    fleet_settings_cache cache;
    EXPECT_TRUE(cache.read(m_bodies).ok());
    replace(m_templates, "800", "900");
    const auto cached = cache.read(m_bodies);
    const auto fresh = readFleetSettings(m_bodies);
    ASSERT_TRUE(cached.ok());
    EXPECT_EQ(cached->services, fresh->services);
    EXPECT_EQ(cached->services[1].timeout, std::chrono::milliseconds { 900 });
    replace(m_templates, "900", "never");
    EXPECT_EQ(cache.read(m_bodies).status(), readFleetSettings(m_bodies).status());
}

} // namespace
} // namespace acaciaslip::protocol
