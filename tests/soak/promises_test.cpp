#include "soak/promises.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace acaciaslip::soak {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr int statusBadGateway = 502;

class promises_test : public testing::Test {
protected:
    promises_test()
    {
        m_promises.sent("booking", false, "bookings");
        m_promises.sent("lookup", true, "lookups");
    }

    promises m_promises;
};

TEST_F(promises_test, Request_RunOnceAndAnswered_BreaksNothing)
{
    m_promises.ran("booking", "bookings");
    m_promises.answered("booking", statusOk, "ran booking", true);
    EXPECT_THAT(m_promises.broken(), IsEmpty());
}

TEST_F(promises_test, Idempotent_RunTwiceAndRefused_BreaksNothing)
{
    m_promises.ran("lookup", "lookups");
    m_promises.ran("lookup", "lookups");
    m_promises.answered("lookup", statusUnavailable, "", true);
    EXPECT_THAT(m_promises.broken(), IsEmpty());
}

TEST_F(promises_test, NonIdempotent_RunTwice_IsBroken)
{
    m_promises.ran("booking", "bookings");
    m_promises.ran("booking", "bookings");
    EXPECT_THAT(m_promises.broken(), ElementsAre(HasSubstr("ran again")));
}

TEST_F(promises_test, NonIdempotent_RefusedThoughItHadRun_IsBroken)
{
    m_promises.ran("booking", "bookings");
    m_promises.answered("booking", statusUnavailable, "", true);
    EXPECT_THAT(m_promises.broken(), ElementsAre(HasSubstr("and had run")));
}

TEST_F(promises_test, NonIdempotent_RunAfterItWasRefused_IsBroken)
{
    m_promises.answered("booking", statusUnavailable, "", true);
    m_promises.ran("booking", "bookings");
    EXPECT_THAT(m_promises.broken(), ElementsAre(HasSubstr("after it was refused")));
}

TEST_F(promises_test, NonIdempotent_RunAndAnsweredWithoutAPromise_BreaksNothing)
{
    m_promises.ran("booking", "bookings");
    m_promises.answered("booking", statusBadGateway, "", true);
    EXPECT_THAT(m_promises.broken(), IsEmpty());
}

TEST_F(promises_test, Answer_OfAnotherRequest_IsBroken)
{
    m_promises.ran("lookup", "lookups");
    m_promises.answered("lookup", statusOk, "ran booking", true);
    EXPECT_THAT(m_promises.broken(), ElementsAre(HasSubstr("another answer than its own")));
}

TEST_F(promises_test, Answer_CutButCompleteToLookAt_IsBroken)
{
    m_promises.ran("lookup", "lookups");
    m_promises.answered("lookup", statusOk, "ran lookup", false);
    EXPECT_THAT(m_promises.broken(), ElementsAre(HasSubstr("another answer than its own")));
}

TEST_F(promises_test, Success_WithoutARun_IsBroken)
{
    m_promises.answered("lookup", statusOk, "ran lookup", true);
    EXPECT_THAT(m_promises.broken(), ElementsAre(HasSubstr("without a run")));
}

TEST_F(promises_test, Run_AtAnotherServiceOrOfNobodysRequest_IsBroken)
{
    m_promises.ran("lookup", "bookings");
    m_promises.ran("nobodys", "lookups");
    EXPECT_THAT(m_promises.broken(), ElementsAre(HasSubstr("instead of lookups"), HasSubstr("nobody sent")));
}

} // namespace
} // namespace acaciaslip::soak
