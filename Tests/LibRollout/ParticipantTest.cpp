#include "LibRollout/Participant.h"
#include "LibRollout/Coordinator.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::rollout;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ParticipantTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ParticipantTest);
  CPPUNIT_TEST(testOldVersionWithoutPermit);
  CPPUNIT_TEST(testPermitExpiresAfterItsReport);
  CPPUNIT_TEST(testLateAndForeignPermitsAreIgnored);
  CPPUNIT_TEST(testShareIsNeverExceeded);
  CPPUNIT_TEST(testRareRoutesAreSampled);
  CPPUNIT_TEST(testStopsOnLocalFailures);
  CPPUNIT_TEST(testRepeatedReportsCountOnce);
  CPPUNIT_TEST(testLostCountsAreReportedAgain);
  CPPUNIT_TEST(testCompletesOnlyWhenDrained);
  CPPUNIT_TEST(testFailuresSinceTheShiftPreventCompletion);
  CPPUNIT_TEST(testNothingShiftsWithoutResponsesOfTheOldVersion);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};

  static Order order() {
    Order Out;
    Out.m_Id = OrderId(7);
    Out.m_Version = core::TargetVersion("v2");
    Out.m_BakeTime = seconds(10);
    return Out;
  }
  Permit permit(const Report &Received, Traffic Mode,
                double Share = 0.1) const {
    return {OrderId(7), Received.m_Number, Mode, Share};
  }
  void grantPermit(Participant &To, Traffic Mode, double Share = 0.1) {
    To.applyPermit(permit(To.report(0, m_Now), Mode, Share), m_Now);
  }
  static ResponseCountsKey key(Side KeySide, std::uint32_t Target) {
    ResponseCountsKey Out;
    Out.m_Side = KeySide;
    Out.m_Target = Target;
    Out.m_Route = 1;
    return Out;
  }

  void recordSuccesses(Participant &At, Side KeySide, std::uint32_t Count) {
    for (std::uint32_t I = 0; I < Count; ++I)
      At.recordResponse(key(KeySide, I % 4), ResponseQuality::Succeeded,
                        milliseconds(50), m_Now);
  }
  void exchange(Coordinator &With, Participant &From) {
    From.applyPermit(
        With.handleReport(core::IncarnationId(1), From.report(0, m_Now), m_Now),
        m_Now);
  }

public:
  void testOldVersionWithoutPermit() {
    Participant Tested(order(), core::Duration::zero(), m_Now);
    for (int I = 0; I < 100; ++I) {
      CPPUNIT_ASSERT(!Tested.isSampleDue(1, m_Now));
      Tested.recordSent(1, false, m_Now);
    }
    CPPUNIT_ASSERT(Tested.traffic(m_Now) == Traffic::Old);
  }

  void testPermitExpiresAfterItsReport() {
    Participant Tested(order(), core::Duration::zero(), m_Now);
    Report Received = Tested.report(0, m_Now);
    m_Now += milliseconds(1000);
    Tested.applyPermit(permit(Received, Traffic::New), m_Now);
    CPPUNIT_ASSERT(Tested.traffic(m_Now) == Traffic::New);
    m_Now += milliseconds(499);
    CPPUNIT_ASSERT(Tested.traffic(m_Now) == Traffic::New);
    m_Now += milliseconds(1);
    CPPUNIT_ASSERT(Tested.traffic(m_Now) == Traffic::Old);
  }

  void testLateAndForeignPermitsAreIgnored() {
    Participant Tested(order(), core::Duration::zero(), m_Now);
    Report First = Tested.report(0, m_Now);
    Report Second = Tested.report(0, m_Now);
    Tested.applyPermit(permit(Second, Traffic::Old), m_Now);
    Tested.applyPermit(permit(First, Traffic::New), m_Now);
    CPPUNIT_ASSERT(Tested.traffic(m_Now) == Traffic::Old);
    Permit Foreign = permit(Second, Traffic::New);
    Foreign.m_Order = OrderId(8);
    Tested.applyPermit(Foreign, m_Now);
    Permit Unasked = permit(Second, Traffic::New);
    Unasked.m_Report = 99;
    Tested.applyPermit(Unasked, m_Now);
    CPPUNIT_ASSERT(Tested.traffic(m_Now) == Traffic::Old);
    m_Now += seconds(3);
    Tested.report(0, m_Now);
    Tested.applyPermit(permit(Second, Traffic::New), m_Now);
    CPPUNIT_ASSERT(Tested.traffic(m_Now) == Traffic::Old);
  }

  void testShareIsNeverExceeded() {
    Participant Tested(order(), core::Duration::zero(), m_Now);
    int New = 0;
    for (int I = 0; I < 2000; ++I) {
      if (I % 20 == 0)
        grantPermit(Tested, Traffic::Sample, 0.06);
      bool IsNew = Tested.isSampleDue(static_cast<std::uint32_t>(I % 3), m_Now);
      New += IsNew ? 1 : 0;
      Tested.recordSent(static_cast<std::uint32_t>(I % 3), IsNew, m_Now);
      CPPUNIT_ASSERT(New <= 0.06 * (I + 1));
      m_Now += milliseconds(7);
    }
    CPPUNIT_ASSERT(New >= 110);
  }

  void testRareRoutesAreSampled() {
    Participant Tested(order(), core::Duration::zero(), m_Now);
    std::map<std::uint32_t, int> Samples;
    for (int I = 0; I < 4000; ++I) {
      if (I % 20 == 0)
        grantPermit(Tested, Traffic::Sample);
      std::uint32_t Route = I % 25 == 0 ? 2 : 1;
      bool IsNew = Tested.isSampleDue(Route, m_Now);
      Samples[Route] += IsNew ? 1 : 0;
      Tested.recordSent(Route, IsNew, m_Now);
      m_Now += milliseconds(7);
    }
    // One in 25 requests is on route 2: 16 samples by its share of requests.
    CPPUNIT_ASSERT(Samples[2] >= 80);
    CPPUNIT_ASSERT(Samples[1] >= 200);
  }

  void testStopsOnLocalFailures() {
    Participant Tested(order(), core::Duration::zero(), m_Now);
    grantPermit(Tested, Traffic::New);
    for (std::uint32_t I = 0; I < 8; ++I)
      Tested.recordResponse(key(Side::New, I),
                            I % 2 == 0 ? ResponseQuality::Failed
                                       : ResponseQuality::Succeeded,
                            milliseconds(50), m_Now);
    CPPUNIT_ASSERT(Tested.traffic(m_Now) == Traffic::Old);
  }

  void testRepeatedReportsCountOnce() {
    Participant Tested(order(), core::Duration::zero(), m_Now);
    Coordinator TestedCoordinator(order(), ExposureLimits(), m_Now);
    for (std::uint32_t I = 0; I < 40; ++I) {
      Tested.recordResponse(key(Side::Old, I % 4), ResponseQuality::Succeeded,
                            milliseconds(50), m_Now);
      Tested.recordResponse(key(Side::New, 10 + I % 4),
                            ResponseQuality::Succeeded, milliseconds(50),
                            m_Now);
    }
    Report Received = Tested.report(0, m_Now);
    for (int I = 0; I < 5; ++I)
      TestedCoordinator.handleReport(core::IncarnationId(1), Received, m_Now);
    m_Now += milliseconds(200);
    TestedCoordinator.decide({16, 16}, seconds(1), m_Now);
    CPPUNIT_ASSERT_EQUAL(40U, TestedCoordinator.judgement().m_NewResponses);
    CPPUNIT_ASSERT_EQUAL(40U, TestedCoordinator.judgement().m_OldResponses);
  }

  void testLostCountsAreReportedAgain() {
    Participant Tested(order(), core::Duration::zero(), m_Now);
    Coordinator TestedCoordinator(order(), ExposureLimits(), m_Now);
    for (std::uint32_t I = 0; I < 60; ++I)
      Tested.recordResponse(key(Side::Old, I), ResponseQuality::Succeeded,
                            milliseconds(50), m_Now);
    Tested.report(0, m_Now); // Lost.
    for (int I = 0; I < 8; ++I) {
      Report Received = Tested.report(0, m_Now);
      CPPUNIT_ASSERT(Received.m_Counts.size() <= 9);
      TestedCoordinator.handleReport(core::IncarnationId(1), Received, m_Now);
    }
    TestedCoordinator.decide({16, 16}, seconds(1), m_Now);
    CPPUNIT_ASSERT_EQUAL(60U, TestedCoordinator.judgement().m_OldResponses);
  }

  void testCompletesOnlyWhenDrained() {
    Participant Tested(order(), core::Duration::zero(), m_Now);
    Coordinator TestedCoordinator(order(), ExposureLimits(), m_Now);
    auto Exchange = [&](std::uint32_t RunningOld) {
      Tested.applyPermit(
          TestedCoordinator.handleReport(
              core::IncarnationId(1), Tested.report(RunningOld, m_Now), m_Now),
          m_Now);
    };
    for (std::uint32_t I = 0; I < 100; ++I) {
      Tested.recordResponse(key(Side::Old, I % 4), ResponseQuality::Succeeded,
                            milliseconds(50), m_Now);
      Tested.recordResponse(key(Side::New, 10 + I % 4),
                            ResponseQuality::Succeeded, milliseconds(50),
                            m_Now);
    }
    Exchange(3);
    m_Now += seconds(7);
    Exchange(3);
    CPPUNIT_ASSERT(!TestedCoordinator.decide({16, 16}, seconds(7), m_Now));
    CPPUNIT_ASSERT(TestedCoordinator.traffic() == Traffic::New);
    m_Now += milliseconds(300);
    Exchange(2);
    Exchange(2);
    CPPUNIT_ASSERT(
        !TestedCoordinator.decide({16, 16}, milliseconds(7300), m_Now));
    m_Now += milliseconds(300);
    Exchange(0);
    auto End = TestedCoordinator.decide({16, 16}, milliseconds(7600), m_Now);
    CPPUNIT_ASSERT(End && End->m_State == State::Completed);
    // Participants that report after completion still get a permit.
    CPPUNIT_ASSERT(TestedCoordinator
                       .handleReport(core::IncarnationId(2),
                                     Tested.report(0, m_Now), m_Now)
                       .m_Traffic == Traffic::New);
  }

  void testFailuresSinceTheShiftPreventCompletion() {
    Participant Tested(order(), core::Duration::zero(), m_Now);
    Coordinator TestedCoordinator(order(), ExposureLimits(), m_Now);
    recordSuccesses(Tested, Side::Old, 100);
    recordSuccesses(Tested, Side::New, 40);
    exchange(TestedCoordinator, Tested);
    m_Now += seconds(8);
    TestedCoordinator.decide({16, 16}, seconds(8), m_Now);
    CPPUNIT_ASSERT(TestedCoordinator.traffic() == Traffic::New);
    for (std::uint32_t I = 0; I < 8; ++I)
      Tested.recordResponse(key(Side::New, I % 4), ResponseQuality::Failed,
                            milliseconds(50), m_Now);
    m_Now += milliseconds(300);
    exchange(TestedCoordinator, Tested);
    exchange(TestedCoordinator, Tested);
    CPPUNIT_ASSERT(
        !TestedCoordinator.decide({16, 16}, milliseconds(8300), m_Now));
    auto End = TestedCoordinator.decide({16, 16}, milliseconds(9600), m_Now);
    CPPUNIT_ASSERT(End && End->m_State == State::RolledBack);
  }

  void testNothingShiftsWithoutResponsesOfTheOldVersion() {
    Participant Tested(order(), core::Duration::zero(), m_Now);
    Coordinator TestedCoordinator(order(), ExposureLimits(), m_Now);
    recordSuccesses(Tested, Side::New, 10);
    exchange(TestedCoordinator, Tested);
    m_Now += seconds(8);
    TestedCoordinator.decide({16, 16}, seconds(8), m_Now);
    CPPUNIT_ASSERT(TestedCoordinator.traffic() == Traffic::Sample);
    // Without old targets, there is nothing to compare with.
    TestedCoordinator.decide({16, 0}, seconds(8), m_Now);
    CPPUNIT_ASSERT(TestedCoordinator.traffic() == Traffic::New);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ParticipantTest);
