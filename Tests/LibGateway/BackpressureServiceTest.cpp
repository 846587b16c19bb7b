//===-- BackpressureServiceTest.cpp - Exchange of backpressure ------------===//
#include "LibGateway/BackpressureService.h"

#include <cppunit/extensions/HelperMacros.h>
#include <limits>

using namespace yardrill;
using namespace yardrill::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

class BackpressureServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackpressureServiceTest);
  CPPUNIT_TEST(testSendsToAllInstancesOfTheTarget);
  CPPUNIT_TEST(testResendsEverySecond);
  CPPUNIT_TEST(testSendsNothingWithoutBackpressure);
  CPPUNIT_TEST(testSplitsUpdatesIntoDatagrams);
  CPPUNIT_TEST(testIgnoresUnreadableUpdates);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};
  config::Endpoint m_Self{"10.1.0.1", 7600};
  config::Endpoint m_Other{"10.1.0.2", 7600};
  routing::TargetDirectory m_Targets;
  std::vector<std::pair<config::Endpoint, peer::BackpressureUpdate>> m_Sent;
  BackpressureService m_Service{
      m_Self, m_Targets,
      [this](const config::Endpoint &To, const peer::PeerBody &Body) {
        m_Sent.emplace_back(To, std::get<peer::BackpressureUpdate>(Body));
      }};

  routing::Target announce(const std::string &Name) {
    routing::Target Out;
    Out.m_Name = core::TargetName(Name);
    Out.m_Pool = core::PoolName("pool");
    m_Targets.announce(Out);
    return Out;
  }
  static routing::TargetBackpressure limited(double PerSecond) {
    routing::TargetBackpressure Out;
    Out.m_RequestsPerSecond = PerSecond;
    return Out;
  }
  void receive(double PerSecond, std::uint64_t AgeUs) {
    peer::BackpressureEntry Entry{"a", 0, true, PerSecond, AgeUs, false};
    peer::PeerMessage Message;
    Message.m_Body = peer::BackpressureUpdate{{Entry}};
    m_Service.handle(Message, m_Now);
  }

public:
  void setUp() override {
    core::DataHallName Hall("hall");
    m_Targets.setSubset(
        routing::FleetSubset(m_Self, {{m_Self, Hall}, {m_Other, Hall}}));
  }

  void testSendsToAllInstancesOfTheTarget() {
    m_Service.noteStated(announce("a"), limited(2), m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Sent.size());
    CPPUNIT_ASSERT(m_Sent[0].first == m_Other);
    const peer::BackpressureEntry &Entry = m_Sent[0].second.m_Entries.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Entry.m_Target);
    CPPUNIT_ASSERT(Entry.m_IsLimited && Entry.m_PerSecond == 2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Entry.m_LimitAgeUs);
    // An unchanged limit is not sent again.
    m_Service.noteStated(announce("a"), limited(2), m_Now + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Sent.size());
  }

  void testResendsEverySecond() {
    m_Service.noteStated(announce("a"), limited(2), m_Now);
    for (int I = 0; I < 40; ++I) {
      m_Now += milliseconds(250);
      m_Service.upkeep(m_Now);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(11), m_Sent.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9250000),
                         m_Sent.back().second.m_Entries.at(0).m_LimitAgeUs);
  }

  void testSendsNothingWithoutBackpressure() {
    routing::Target Target = announce("a");
    for (int I = 0; I < 100; ++I) {
      m_Now += milliseconds(250);
      m_Service.noteStated(Target, {}, m_Now);
      m_Service.upkeep(m_Now);
    }
    // A back-off concerns this instance alone.
    routing::TargetBackpressure BackoffOnly;
    BackoffOnly.m_Backoff = seconds(3);
    m_Service.noteStated(Target, BackoffOnly, m_Now);
    m_Service.upkeep(m_Now);
    CPPUNIT_ASSERT(m_Sent.empty());
  }

  void testSplitsUpdatesIntoDatagrams() {
    for (std::size_t I = 0; I < 2 * peer::BackpressureUpdate::MaxEntries + 1;
         ++I)
      m_Service.noteStated(announce("t" + std::to_string(I)), limited(2),
                           m_Now);
    m_Sent.clear();
    m_Service.upkeep(m_Now + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_Sent.size());
    for (const auto &[To, Update] : m_Sent)
      CPPUNIT_ASSERT(Update.m_Entries.size() <=
                     peer::BackpressureUpdate::MaxEntries);
  }

  void testIgnoresUnreadableUpdates() {
    announce("a");
    for (double InvalidRate : {std::numeric_limits<double>::quiet_NaN(),
                               std::numeric_limits<double>::infinity(), -1.0})
      receive(InvalidRate, 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Targets.throttles().limited());
    // An age beyond the local clock counts as its start.
    receive(3, std::numeric_limits<std::uint64_t>::max());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Targets.throttles().limited());
    receive(2, 5000);
    auto Backpressure = m_Targets.throttles().reportOf(core::TargetName("a"));
    CPPUNIT_ASSERT_EQUAL(2.0, Backpressure.m_Limit.m_PerSecond.value_or(0));
    CPPUNIT_ASSERT(Backpressure.m_Limit.m_At == m_Now - milliseconds(5));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackpressureServiceTest);
