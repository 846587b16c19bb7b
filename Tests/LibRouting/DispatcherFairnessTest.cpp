//===-- DispatcherFairnessTest.cpp - Accounts that wait for slots ---------===//
//
// Guards against an account that sends many times its usual requests and makes
// those of others late, in a pool without enough slots.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/Dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;

class DispatcherFairnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherFairnessTest);
  CPPUNIT_TEST(testFloodingAccountTakesFromItself);
  CPPUNIT_TEST(testWithoutFairnessTheFloodWins);
  CPPUNIT_TEST(testAccountOfLargeRequestsIsServed);
  CPPUNIT_TEST(testTierPrecedesShare);
  CPPUNIT_TEST(testReturnedCallerKeepsItsPlaceInItsAccount);
  CPPUNIT_TEST(testSwitchedOffServesByDueTime);
  CPPUNIT_TEST_SUITE_END();

  /// Load of one account.
  struct Sender {
    core::Duration m_Period;
    std::uint32_t m_PromptTokens = 1000;
    double m_Events = 100;
    core::Duration m_SlotTime = milliseconds(400);
    std::size_t m_Sent = 0;
    std::size_t m_Begun = 0;
  };

  core::TimePoint m_Now{std::chrono::hours(1)};
  core::TargetName m_Target{"a"};
  TargetDirectory m_Targets;
  std::vector<core::RequestId> m_Sent;
  std::uint64_t m_NextId = 1;
  Dispatcher m_Dispatcher{
      m_Targets,
      core::DataHallName("hall"),
      PlacementPolicy::LeastPredictedWait,
      {[this](core::RequestId Request, const Target & /*Chosen*/) {
         m_Sent.push_back(Request);
       },
       [](core::RequestId /*Request*/) {}}};

  void announce(std::size_t Slots) {
    Target Announced;
    Announced.m_Name = m_Target;
    Announced.m_Pool = core::PoolName("pool");
    Announced.m_DataHall = core::DataHallName("hall");
    Announced.m_Slots = Slots;
    m_Targets.announce(Announced);
  }
  void setFairness(bool IsOn) {
    OverloadSettings Settings{false, false, false, false, false, false};
    Settings.m_AccountFairness = IsOn;
    m_Dispatcher.setOverload(Settings);
  }
  PlacementRequest stream(const std::string &Account) {
    PlacementRequest Out;
    Out.m_Request = core::RequestId(m_NextId++);
    Out.m_Pool = core::PoolName("pool");
    Out.m_Account = core::AccountName(Account);
    Out.m_IsInference = true;
    Out.m_ArrivedAt = m_Now;
    Out.m_FirstByteDue = m_Now + milliseconds(1000);
    Out.m_FirstEventDeadline = m_Now + milliseconds(1000);
    Out.m_EndsAt = m_Now + milliseconds(5000);
    return Out;
  }
  void end(core::RequestId Id) {
    m_Targets.recordEnd(m_Target, 0);
    m_Dispatcher.recordEnd(Id, m_Now);
  }

  /// Plays twenty seconds of load. Requests begin in time or are refused.
  void play(std::map<std::string, Sender> &Senders) {
    std::map<core::RequestId, std::string> Open;
    std::multimap<core::TimePoint, core::RequestId> Ends;
    core::TimePoint Start = m_Now;
    for (; m_Now < Start + std::chrono::seconds(20); m_Now += milliseconds(5)) {
      while (!Ends.empty() && Ends.begin()->first <= m_Now) {
        end(Ends.begin()->second);
        Ends.erase(Ends.begin());
        m_Dispatcher.dispatchWaiting(m_Now);
      }
      for (auto &[Account, Each] : Senders)
        if ((m_Now - Start) % Each.m_Period == core::Duration::zero()) {
          PlacementRequest Request = stream(Account);
          Request.m_PromptTokens = Each.m_PromptTokens;
          Request.m_ExpectedEvents = Each.m_Events;
          Open[Request.m_Request] = Account;
          ++Each.m_Sent;
          m_Dispatcher.place(Request, m_Now);
        }
      m_Dispatcher.dispatchWaiting(m_Now);
      for (core::RequestId Id : m_Sent) {
        Sender &Known = Senders[Open[Id]];
        ++Known.m_Begun;
        Ends.emplace(m_Now + Known.m_SlotTime, Id);
      }
      m_Sent.clear();
    }
  }
  static double share(const Sender &Known) {
    return static_cast<double>(Known.m_Begun) /
           static_cast<double>(Known.m_Sent);
  }
  /// Four accounts that use 0.8 of the slots, of which one sends seven times
  /// its usual load.
  std::map<std::string, Sender> flood() {
    announce(20);
    std::map<std::string, Sender> Out;
    for (const char *Account : {"a", "b", "c"})
      Out[Account].m_Period = milliseconds(100);
    Out["flood"].m_Period = milliseconds(15);
    for (auto &[Account, Each] : Out)
      Each.m_SlotTime = milliseconds(400);
    return Out;
  }

public:
  void testFloodingAccountTakesFromItself() {
    setFairness(true);
    auto Senders = flood();
    play(Senders);
    for (const char *Account : {"a", "b", "c"})
      CPPUNIT_ASSERT(share(Senders[Account]) >= 0.98);
    // What the others leave: 20 of 67 requests a second.
    CPPUNIT_ASSERT(share(Senders["flood"]) >= 0.25);
  }

  /// The load of the test above makes other accounts late in order of due time.
  void testWithoutFairnessTheFloodWins() {
    setFairness(false);
    auto Senders = flood();
    play(Senders);
    CPPUNIT_ASSERT(share(Senders["a"]) < 0.8);
  }

  void testAccountOfLargeRequestsIsServed() {
    setFairness(true);
    announce(20);
    std::map<std::string, Sender> Senders;
    // Each wants as much slot time as the others, 1.2 times the slots in all.
    for (const char *Account : {"a", "b", "c"})
      Senders[Account].m_Period = milliseconds(65);
    Senders["large"] = {milliseconds(260), 4000, 400, milliseconds(1600)};
    play(Senders);
    // An equal share of the slots is 5 of the 6.2 that it wants.
    CPPUNIT_ASSERT(share(Senders["large"]) >= 0.5);
    for (const char *Account : {"a", "b", "c"})
      CPPUNIT_ASSERT(share(Senders[Account]) >= 0.5);
  }

  void testTierPrecedesShare() {
    setFairness(true);
    announce(1);
    m_Dispatcher.place(stream("high"), m_Now);
    PlacementRequest Low = stream("low");
    Low.m_Priority.m_Route = core::TierNumber(2);
    m_Dispatcher.place(Low, m_Now);
    std::vector<core::RequestId> Expected{core::RequestId(1)};
    for (std::uint64_t I = 0; I < 3; ++I) {
      PlacementRequest High = stream("high");
      m_Dispatcher.place(High, m_Now);
      Expected.push_back(High.m_Request);
    }
    for (std::uint64_t I = 0; I < 3; ++I) {
      end(m_Sent.back());
      m_Dispatcher.dispatchWaiting(m_Now);
    }
    CPPUNIT_ASSERT(Expected == m_Sent);
  }

  void testReturnedCallerKeepsItsPlaceInItsAccount() {
    setFairness(true);
    announce(1);
    m_Dispatcher.place(stream("a"), m_Now);
    m_Dispatcher.place(stream("a"), m_Now);
    m_Now += milliseconds(10);
    PlacementRequest Returned = stream("a");
    Returned.m_FirstArrivedAt = m_Now - milliseconds(300);
    m_Dispatcher.place(Returned, m_Now);
    end(m_Sent.back());
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT(m_Sent.back() == Returned.m_Request);
  }

  void testSwitchedOffServesByDueTime() {
    setFairness(false);
    announce(1);
    std::vector<core::RequestId> Expected;
    for (const char *Account : {"a", "a", "a", "b"}) {
      PlacementRequest Each = stream(Account);
      m_Dispatcher.place(Each, m_Now);
      Expected.push_back(Each.m_Request);
      m_Now += milliseconds(1);
    }
    for (std::uint64_t I = 0; I < 3; ++I) {
      end(m_Sent.back());
      m_Dispatcher.dispatchWaiting(m_Now);
    }
    CPPUNIT_ASSERT(Expected == m_Sent);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherFairnessTest);
