#include "soak/guarantees.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace acaciaslip::soak {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;
using testing::SizeIs;

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr int statusBadGateway = 502;

class guarantee_checker_test : public testing::Test {
protected:
    guarantee_checker_test()
    {
        m_checker.recordSent("booking", false, "bookings");
        m_checker.recordSent("lookup", true, "lookups");
    }

    guarantee_checker m_checker;
};

TEST_F(guarantee_checker_test, Request_RunOnceAndAnswered_ReportsNoViolation)
{
    m_checker.recordRun("booking", "bookings");
    m_checker.recordAnswer("booking", statusOk, "ran booking", true);
    EXPECT_THAT(m_checker.violations(), IsEmpty());
}

TEST_F(guarantee_checker_test, IdempotentRequest_RunTwiceAndRefused_ReportsNoViolation)
{
    m_checker.recordRun("lookup", "lookups");
    m_checker.recordRun("lookup", "lookups");
    m_checker.recordAnswer("lookup", statusUnavailable, "", true);
    EXPECT_THAT(m_checker.violations(), IsEmpty());
}

TEST_F(guarantee_checker_test, NonIdempotentRequest_RunTwice_ReportsViolation)
{
    m_checker.recordRun("booking", "bookings");
    m_checker.recordRun("booking", "bookings");
    EXPECT_THAT(m_checker.violations(), ElementsAre(HasSubstr("executed more than once")));
}

TEST_F(guarantee_checker_test, NonIdempotentRequest_RefusedAfterRun_ReportsViolation)
{
    m_checker.recordRun("booking", "bookings");
    m_checker.recordAnswer("booking", statusUnavailable, "", true);
    EXPECT_THAT(m_checker.violations(), ElementsAre(HasSubstr("after it had been executed")));
}

/// Guards against a check that considers 503 only.
TEST_F(guarantee_checker_test, NonIdempotentRequest_AnyPromiseAfterRun_ReportsViolation)
{
    m_checker.recordRun("booking", "bookings");
    for (const int status : { 408, 421, 429 })
        m_checker.recordAnswer("booking", status, "", true);
    EXPECT_THAT(m_checker.violations(), SizeIs(3));
}

TEST_F(guarantee_checker_test, NonIdempotentRequest_RunAfterRefusal_ReportsViolation)
{
    m_checker.recordAnswer("booking", statusUnavailable, "", true);
    m_checker.recordRun("booking", "bookings");
    EXPECT_THAT(m_checker.violations(), ElementsAre(HasSubstr("executed after it was refused")));
}

TEST_F(guarantee_checker_test, NonIdempotentRequest_RunAndAnsweredWithBadGateway_ReportsNoViolation)
{
    m_checker.recordRun("booking", "bookings");
    m_checker.recordAnswer("booking", statusBadGateway, "", true);
    EXPECT_THAT(m_checker.violations(), IsEmpty());
}

TEST_F(guarantee_checker_test, Answer_BelongsToAnotherRequest_ReportsViolation)
{
    m_checker.recordRun("lookup", "lookups");
    m_checker.recordAnswer("lookup", statusOk, "ran booking", true);
    EXPECT_THAT(m_checker.violations(), ElementsAre(HasSubstr("answer that does not match its request")));
}

TEST_F(guarantee_checker_test, Answer_TruncatedWithExpectedBody_ReportsViolation)
{
    m_checker.recordRun("lookup", "lookups");
    m_checker.recordAnswer("lookup", statusOk, "ran lookup", false);
    EXPECT_THAT(m_checker.violations(), ElementsAre(HasSubstr("answer that does not match its request")));
}

TEST_F(guarantee_checker_test, Success_WithoutRun_ReportsViolation)
{
    m_checker.recordAnswer("lookup", statusOk, "ran lookup", true);
    EXPECT_THAT(m_checker.violations(), ElementsAre(HasSubstr("without being executed")));
}

TEST_F(guarantee_checker_test, Run_AtWrongServiceOrOfUnknownRequest_ReportsViolations)
{
    m_checker.recordRun("lookup", "bookings");
    m_checker.recordRun("unknown", "lookups");
    EXPECT_THAT(m_checker.violations(), ElementsAre(HasSubstr("instead of lookups"), HasSubstr("no caller sent")));
}

} // namespace
} // namespace acaciaslip::soak
