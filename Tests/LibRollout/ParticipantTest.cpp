#include "LibRollout/Participant.h"
#include "LibRollout/Coordinator.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::rollout;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ParticipantTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ParticipantTest);
  CPPUNIT_TEST(testNothingWithoutAPermit);
  CPPUNIT_TEST(testPermitLapsesFromItsReport);
  CPPUNIT_TEST(testLateAndForeignPermitsAreIgnored);
  CPPUNIT_TEST(testShareIsNeverExceeded);
  CPPUNIT_TEST(testRareRoutesAreSampled);
  CPPUNIT_TEST(testStopsByItself);
  CPPUNIT_TEST(testRepeatedReportsCountOnce);
  CPPUNIT_TEST(testLostCountsAreReportedAgain);
  CPPUNIT_TEST(testCompletesOnlyWhenDrained);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};

  static Order order() {
    Order Out;
    Out.m_Id = OrderId(7);
    Out.m_Version = core::TargetVersion("v2");
    Out.m_BakeTime = seconds(10);
    return Out;
  }
  Permit permit(const Report &Told, Traffic How, double Share = 0.1) const {
    return {OrderId(7), Told.m_Number, How, Share};
  }
  void give(Participant &To, Traffic How, double Share = 0.1) {
    To.applyPermit(permit(To.report(0, m_Now), How, Share), m_Now);
  }
  static ResponseCountsKey key(Side Which, std::uint32_t Target) {
    ResponseCountsKey Out;
    Out.m_Side = Which;
    Out.m_Target = Target;
    Out.m_Route = 1;
    return Out;
  }

public:
  void testNothingWithoutAPermit() {
    Participant Own(order(), core::Duration::zero(), m_Now);
    for (int I = 0; I < 100; ++I) {
      CPPUNIT_ASSERT(!Own.isSampleDue(1, m_Now));
      Own.sent(1, false, m_Now);
    }
    CPPUNIT_ASSERT(Own.traffic(m_Now) == Traffic::Old);
  }

  void testPermitLapsesFromItsReport() {
    Participant Own(order(), core::Duration::zero(), m_Now);
    Report Told = Own.report(0, m_Now);
    m_Now += milliseconds(1000);
    Own.applyPermit(permit(Told, Traffic::New), m_Now);
    CPPUNIT_ASSERT(Own.traffic(m_Now) == Traffic::New);
    m_Now += milliseconds(499);
    CPPUNIT_ASSERT(Own.traffic(m_Now) == Traffic::New);
    m_Now += milliseconds(1);
    CPPUNIT_ASSERT(Own.traffic(m_Now) == Traffic::Old);
  }

  void testLateAndForeignPermitsAreIgnored() {
    Participant Own(order(), core::Duration::zero(), m_Now);
    Report First = Own.report(0, m_Now);
    Report Second = Own.report(0, m_Now);
    Own.applyPermit(permit(Second, Traffic::Old), m_Now);
    Own.applyPermit(permit(First, Traffic::New), m_Now);
    CPPUNIT_ASSERT(Own.traffic(m_Now) == Traffic::Old);
    Permit Foreign = permit(Second, Traffic::New);
    Foreign.m_Order = OrderId(8);
    Own.applyPermit(Foreign, m_Now);
    Permit Unasked = permit(Second, Traffic::New);
    Unasked.m_Report = 99;
    Own.applyPermit(Unasked, m_Now);
    CPPUNIT_ASSERT(Own.traffic(m_Now) == Traffic::Old);
    m_Now += seconds(3);
    Own.report(0, m_Now);
    Own.applyPermit(permit(Second, Traffic::New), m_Now);
    CPPUNIT_ASSERT(Own.traffic(m_Now) == Traffic::Old);
  }

  void testShareIsNeverExceeded() {
    Participant Own(order(), core::Duration::zero(), m_Now);
    int New = 0;
    for (int I = 0; I < 2000; ++I) {
      if (I % 20 == 0)
        give(Own, Traffic::Sample, 0.06);
      bool IsNew = Own.isSampleDue(static_cast<std::uint32_t>(I % 3), m_Now);
      New += IsNew ? 1 : 0;
      Own.sent(static_cast<std::uint32_t>(I % 3), IsNew, m_Now);
      CPPUNIT_ASSERT(New <= 0.06 * (I + 1));
      m_Now += milliseconds(7);
    }
    CPPUNIT_ASSERT(New >= 110);
  }

  void testRareRoutesAreSampled() {
    Participant Own(order(), core::Duration::zero(), m_Now);
    std::map<std::uint32_t, int> Tries;
    for (int I = 0; I < 4000; ++I) {
      if (I % 20 == 0)
        give(Own, Traffic::Sample);
      std::uint32_t Route = I % 25 == 0 ? 2 : 1;
      bool IsNew = Own.isSampleDue(Route, m_Now);
      Tries[Route] += IsNew ? 1 : 0;
      Own.sent(Route, IsNew, m_Now);
      m_Now += milliseconds(7);
    }
    // One of 25 requests; a tenth of all tries would be 16 by their share.
    CPPUNIT_ASSERT(Tries[2] >= 80);
    CPPUNIT_ASSERT(Tries[1] >= 200);
  }

  void testStopsByItself() {
    Participant Own(order(), core::Duration::zero(), m_Now);
    give(Own, Traffic::New);
    for (std::uint32_t I = 0; I < 8; ++I)
      Own.recordResponse(key(Side::New, I),
                         I % 2 == 0 ? ResponseQuality::Failed
                                    : ResponseQuality::Succeeded,
                         milliseconds(50), m_Now);
    CPPUNIT_ASSERT(Own.traffic(m_Now) == Traffic::Old);
  }

  void testRepeatedReportsCountOnce() {
    Participant Own(order(), core::Duration::zero(), m_Now);
    Coordinator Leads(order(), ExposureLimits(), m_Now);
    for (std::uint32_t I = 0; I < 40; ++I) {
      Own.recordResponse(key(Side::Old, I % 4), ResponseQuality::Succeeded,
                         milliseconds(50), m_Now);
      Own.recordResponse(key(Side::New, 10 + I % 4), ResponseQuality::Succeeded,
                         milliseconds(50), m_Now);
    }
    Report Told = Own.report(0, m_Now);
    for (int I = 0; I < 5; ++I)
      Leads.handleReport(core::IncarnationId(1), Told, m_Now);
    m_Now += milliseconds(200);
    Leads.decide({16, 16}, seconds(1), m_Now);
    CPPUNIT_ASSERT_EQUAL(40U, Leads.judgement().m_NewResponses);
    CPPUNIT_ASSERT_EQUAL(40U, Leads.judgement().m_OldResponses);
  }

  void testLostCountsAreReportedAgain() {
    Participant Own(order(), core::Duration::zero(), m_Now);
    Coordinator Leads(order(), ExposureLimits(), m_Now);
    for (std::uint32_t I = 0; I < 60; ++I)
      Own.recordResponse(key(Side::Old, I), ResponseQuality::Succeeded,
                         milliseconds(50), m_Now);
    Own.report(0, m_Now); // Lost.
    for (int I = 0; I < 8; ++I) {
      Report Told = Own.report(0, m_Now);
      CPPUNIT_ASSERT(Told.m_Counts.size() <= 9);
      Leads.handleReport(core::IncarnationId(1), Told, m_Now);
    }
    Leads.decide({16, 16}, seconds(1), m_Now);
    CPPUNIT_ASSERT_EQUAL(60U, Leads.judgement().m_OldResponses);
  }

  void testCompletesOnlyWhenDrained() {
    Participant Own(order(), core::Duration::zero(), m_Now);
    Coordinator Leads(order(), ExposureLimits(), m_Now);
    auto Tell = [&](std::uint32_t RunningOld) {
      Own.applyPermit(Leads.handleReport(core::IncarnationId(1),
                                         Own.report(RunningOld, m_Now), m_Now),
                      m_Now);
    };
    for (std::uint32_t I = 0; I < 100; ++I) {
      Own.recordResponse(key(Side::Old, I % 4), ResponseQuality::Succeeded,
                         milliseconds(50), m_Now);
      Own.recordResponse(key(Side::New, 10 + I % 4), ResponseQuality::Succeeded,
                         milliseconds(50), m_Now);
    }
    Tell(3);
    m_Now += seconds(7);
    Tell(3);
    CPPUNIT_ASSERT(!Leads.decide({16, 16}, seconds(7), m_Now));
    CPPUNIT_ASSERT(Leads.traffic() == Traffic::New);
    m_Now += milliseconds(300);
    Tell(2);
    Tell(2);
    CPPUNIT_ASSERT(!Leads.decide({16, 16}, milliseconds(7300), m_Now));
    m_Now += milliseconds(300);
    Tell(0);
    auto End = Leads.decide({16, 16}, milliseconds(7600), m_Now);
    CPPUNIT_ASSERT(End && End->m_State == State::Completed);
    // Those that come late still hear where to send.
    CPPUNIT_ASSERT(
        Leads.handleReport(core::IncarnationId(2), Own.report(0, m_Now), m_Now)
            .m_Traffic == Traffic::New);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ParticipantTest);
