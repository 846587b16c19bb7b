//===-- AbandonedRequestTest.cpp - Requests whose callers have left -------===//
//
// Guards against a request that runs although its caller left before it was
// read: the caller may take it for unread, and send it again.
//
//===----------------------------------------------------------------------===//
#include "Fleet.h"
#include "LeavingCaller.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <memory>
#include <thread>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

class AbandonedRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AbandonedRequestTest);
  CPPUNIT_TEST(testCallersThatLeaveAFrozenInstance);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int Callers = 8;

  /// Opens connections to the application, which stay idle.
  static void warmUp(Fleet &TestFleet) {
    controlStandIn(TestFleet.applicationPort(), {{"delay_ms", 200}});
    std::vector<std::future<Reply>> Replies;
    for (int I = 0; I < Callers; ++I)
      Replies.push_back(callAsync(TestFleet.at(0).m_CallerPort,
                                  applicationRequest("/holds", "warm-up")));
    for (auto &Each : Replies)
      CPPUNIT_ASSERT_EQUAL(200U, Each.get().m_Status);
    controlStandIn(TestFleet.applicationPort(), {{"delay_ms", 0}});
  }

public:
  void testCallersThatLeaveAFrozenInstance() {
    Fleet TestFleet{Fleet::Options()};
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    for (Leaving How : {Leaving::Close, Leaving::Reset, Leaving::HalfClose}) {
      std::string Identity = "left-" + std::to_string(static_cast<int>(How));
      warmUp(TestFleet);
      TestFleet.at(0).m_Process.signal(SIGSTOP);
      std::this_thread::sleep_for(milliseconds(50));
      std::vector<std::unique_ptr<LeavingCaller>> All;
      for (int I = 0; I < Callers; ++I) {
        All.push_back(
            std::make_unique<LeavingCaller>(TestFleet.at(0).m_CallerPort));
        All.back()->send(applicationRequest("/holds", Identity));
      }
      for (auto &Each : All)
        Each->leave(How);
      TestFleet.at(0).m_Process.signal(SIGCONT);
      std::this_thread::sleep_for(milliseconds(400));
      CPPUNIT_ASSERT_EQUAL(std::int64_t(0),
                           executionsOf(TestFleet.applicationPort(), Identity));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AbandonedRequestTest);
