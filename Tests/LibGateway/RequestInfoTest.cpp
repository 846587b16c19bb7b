//===-- RequestInfoTest.cpp - Log lines and metrics of refusals -----------===//
// Guards against refusals for want of a slot whose inputs nobody can see.
#include "LibGateway/RequestInfo.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::gateway;

class RequestInfoTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestInfoTest);
  CPPUNIT_TEST(testRefusalUnderShortage);
  CPPUNIT_TEST(testRefusalWithoutShortage);
  CPPUNIT_TEST(testResponsesOfTargetsHaveNoInputs);
  CPPUNIT_TEST(testMetricsOfRefusals);
  CPPUNIT_TEST_SUITE_END();

  routing::Route m_Route;
  routing::Account m_Account;
  RequestInfo m_Info;

  static routing::Priority tier(std::uint32_t Account, std::uint32_t Route) {
    return {core::TierNumber(Account), core::TierNumber(Route)};
  }
  static routing::TierDemand demand(std::uint32_t Waiting,
                                    std::uint32_t Running) {
    routing::TierDemand Out;
    Out.m_Waiting = Waiting;
    Out.m_Running = Running;
    return Out;
  }
  std::string refusalLine() const {
    std::string Out;
    core::setLogSink([&Out](const std::string &Line) { Out = Line; });
    m_Info.logCompletion("request-refused", 0);
    core::setLogSink(nullptr);
    return Out;
  }
  static bool has(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }

public:
  void setUp() override {
    m_Route.m_Tier = core::TierNumber(3);
    m_Account.m_Name = core::AccountName("club");
    m_Info.m_Route = &m_Route;
    m_Info.m_Account = &m_Account;
    m_Info.m_Tier = core::TierNumber(2);
    m_Info.m_Pool = core::PoolName("p");
    m_Info.m_Status = 503;
    m_Info.m_Reason = "no-target";
    m_Info.m_RetryAfter = std::chrono::milliseconds(1250);
  }

  void testRefusalUnderShortage() {
    m_Info.m_DemandAtRefusal = {{tier(1, 1), demand(3, 10)},
                                {tier(2, 3), demand(4, 0)},
                                {tier(2, 4), demand(5, 2)},
                                {tier(3, 1), demand(6, 8)}};
    std::string Line = refusalLine();
    CPPUNIT_ASSERT_MESSAGE(
        Line, has(Line, " account=club route_tier=3 retry_after_us=1250000 "
                        "waiting_ahead=1/1:3,2/3:4 "
                        "running=1/1:10,2/4:2,3/1:8"));
  }

  void testRefusalWithoutShortage() {
    m_Info.m_Account = nullptr;
    m_Info.m_RetryAfter = core::Duration::zero();
    std::string Line = refusalLine();
    CPPUNIT_ASSERT_MESSAGE(Line, has(Line, " route_tier=3"));
    for (const char *Absent :
         {"account=", "retry_after_us=", "waiting_ahead=", "running="})
      CPPUNIT_ASSERT_MESSAGE(Line, !has(Line, Absent));
  }

  void testResponsesOfTargetsHaveNoInputs() {
    m_Info.m_Status = 0;
    std::string Line = refusalLine();
    CPPUNIT_ASSERT_MESSAGE(Line, !has(Line, "account="));
    CPPUNIT_ASSERT_MESSAGE(Line, !has(Line, "route_tier="));
  }

  void testMetricsOfRefusals() {
    metrics::MetricsRegistry Metrics;
    m_Info.countCompletion(Metrics);
    m_Info.countCompletion(Metrics);
    m_Info.m_Reason = "over-quota";
    m_Info.m_Status = 429;
    m_Info.countCompletion(Metrics);
    const std::string Labels = "{client_account=\"club\",tier=\"2\",pool=\"p\"";
    std::string Text = Metrics.exposition();
    CPPUNIT_ASSERT_MESSAGE(
        Text,
        has(Text, "yardrill_no_slot_refusal_seconds_count" + Labels + "} 2\n"));
    CPPUNIT_ASSERT_MESSAGE(Text, has(Text, "yardrill_requests_total" + Labels +
                                               ",outcome=\"no-target\"} 2\n"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestInfoTest);
