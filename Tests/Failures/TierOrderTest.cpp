//===-- TierOrderTest.cpp - Tier order across real processes --------------===//
//
// Guards against shedding a request while one of a lower tier still runs.
// Checked in the logs of all instances.
//
//===----------------------------------------------------------------------===//
#include "Fleet.h"

#include <algorithm>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <iomanip>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <thread>

using namespace yardrill;
using namespace yardrill::tests;

namespace {

using Fields = std::map<std::string, std::string>;

/// Counts of sheds, evictions and violations of the tier order in the logs.
struct TierOrderReport {
  std::size_t m_HigherTierSheds = 0; ///< In all tiers but the lowest.
  std::size_t m_Evictions = 0;
  std::size_t m_Violations = 0;
  std::string m_FirstViolation; ///< Time and request id.
};

} // namespace

static Fields fieldsOf(const std::string &Line) {
  Fields Out;
  std::istringstream In(Line);
  for (std::string Word; In >> Word;) {
    auto Equals = Word.find('=');
    if (Equals != std::string::npos)
      Out[Word.substr(0, Equals)] = Word.substr(Equals + 1);
  }
  return Out;
}

static bool isShed(const std::string &Kind) {
  return Kind == "queue-full" || Kind == "deadline-passed" ||
         Kind == "tier-shed" || Kind == "target-unreachable";
}

/// Merges the log lines of all instances by time and counts as a violation each
/// shed of a request while one of a lower tier runs. Covers the pool assistant.
static TierOrderReport checkTierOrder(const Fleet &TestFleet,
                                      const std::set<std::string> &Killed) {
  std::multimap<std::string, Fields> ByTime;
  for (const std::string &Line : TestFleet.logLines()) {
    Fields Found = fieldsOf(Line);
    // The last line of a killed process may be truncated.
    bool IsComplete = Found.count("tier") != 0 && Found.count("pool") != 0;
    if (IsComplete && Found["pool"] == "assistant")
      ByTime.emplace(Found["time"], Found);
  }
  TierOrderReport Out;
  std::map<std::string, int> Running;
  for (auto &[Time, Line] : ByTime) {
    const std::string &Event = Line["event"];
    const std::string &Request = Line["request"];
    std::string Incarnation = Request.substr(0, Request.find('-'));
    // Ignores killed incarnations: they log no end of their requests, which the
    // engine cancels when the connection closes.
    if (Killed.count(Incarnation) != 0)
      continue;
    int Tier = std::stoi(Line["tier"]);
    if (Event == "request-dispatched")
      Running[Request] = Tier;
    if (Event == "target-finished")
      Running.erase(Request);
    bool IsEvicted = Event == "request-evicted";
    Out.m_Evictions += IsEvicted;
    bool IsRefused = Event == "request-refused" && isShed(Line["kind"]);
    if (!IsEvicted && !IsRefused)
      continue;
    Out.m_HigherTierSheds += Tier < 3;
    bool IsViolation =
        std::any_of(Running.begin(), Running.end(),
                    [&](const auto &R) { return R.second > Tier; });
    if (IsViolation && Out.m_Violations++ == 0)
      Out.m_FirstViolation = Time + " " + Request;
  }
  return Out;
}

class TierOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TierOrderTest);
  CPPUNIT_TEST(testBurst);
  CPPUNIT_TEST(testLeaderKilled);
  CPPUNIT_TEST(testMembersFrozen);
  CPPUNIT_TEST(testPlatformDown);
  CPPUNIT_TEST(testSimultaneousFailures);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int InstanceCount = 3;
  std::unique_ptr<Fleet> m_Fleet;
  std::set<std::string> m_Killed;

  void startFleet() {
    Fleet::Options FleetOptions;
    FleetOptions.m_Instances = InstanceCount;
    FleetOptions.m_Slots = 6;
    FleetOptions.m_QueueLimit = 6;
    for (int &Deadline : FleetOptions.m_DeadlineMilliseconds)
      Deadline = 1200;
    FleetOptions.m_EngineFlags = "--decode_rate=100";
    m_Killed.clear();
    m_Fleet = std::make_unique<Fleet>(FleetOptions);
    CPPUNIT_ASSERT(m_Fleet->waitUntilServing());
  }

  std::string incarnation(int Index) {
    std::ostringstream Out;
    Out << std::hex << std::setw(16) << std::setfill('0')
        << std::stoull(std::string(
               m_Fleet->status(Index).at("incarnation").as_string()));
    return Out.str();
  }

  int leaderIndex() {
    for (int I = 0; I < InstanceCount; ++I) {
      auto Status = m_Fleet->status(I);
      if (Status.at("pools").as_array().at(0).at("is_leader").as_bool())
        return I;
    }
    return 0;
  }

  void killInstance(int Index) {
    m_Killed.insert(incarnation(Index));
    m_Fleet->at(Index).m_Process.kill();
  }

  /// Sends requests of all tiers from many threads while \p InjectFailures
  /// runs, then checks the tier order in the logs.
  TierOrderReport runUnderLoad(const std::function<void()> &InjectFailures) {
    std::atomic<bool> IsOver{false};
    std::vector<std::thread> Workers;
    for (unsigned Seed = 0; Seed < 48; ++Seed)
      Workers.emplace_back([&, Seed] {
        const char *Tiers[] = {"hold", "assist", "batch"};
        std::mt19937 Random(Seed);
        while (!IsOver) {
          std::string Tier = Tiers[Seed % 3];
          Reply Response =
              call(m_Fleet->at(static_cast<int>(Random() % InstanceCount))
                       .m_CallerPort,
                   completionRequest("x", 20 + static_cast<int>(Random() % 60),
                                     true, Tier));
          // Retries sooner than Retry-After demands, to keep up the load.
          if (Response.m_Status != 200)
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
      });
    InjectFailures();
    IsOver = true;
    for (auto &Each : Workers)
      Each.join();
    TierOrderReport Out = checkTierOrder(*m_Fleet, m_Killed);
    std::cout << " higher_sheds=" << Out.m_HigherTierSheds
              << " evictions=" << Out.m_Evictions
              << " violations=" << Out.m_Violations << ' '
              << Out.m_FirstViolation;
    return Out;
  }

  static void pause(int Milliseconds) {
    std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
  }

public:
  void tearDown() override { m_Fleet.reset(); }

  void testBurst() {
    startFleet();
    TierOrderReport Out = runUnderLoad([] { pause(6000); });
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Out.m_Violations);
    // The check means something only if higher tiers were shed.
    CPPUNIT_ASSERT(Out.m_HigherTierSheds > 0);
  }

  void testLeaderKilled() {
    startFleet();
    TierOrderReport Out = runUnderLoad([&] {
      pause(3000);
      int Leader = leaderIndex();
      killInstance(Leader);
      pause(1000);
      m_Fleet->start(Leader);
      pause(12000);
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Out.m_Violations);
    CPPUNIT_ASSERT(Out.m_HigherTierSheds > 0);
  }

  void testMembersFrozen() {
    startFleet();
    TierOrderReport Out = runUnderLoad([&] {
      pause(2500);
      for (int Index : {leaderIndex(), (leaderIndex() + 1) % InstanceCount}) {
        m_Fleet->at(Index).m_Process.signal(SIGSTOP);
        pause(2500);
        m_Fleet->at(Index).m_Process.signal(SIGCONT);
        pause(2000);
      }
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Out.m_Violations);
    CPPUNIT_ASSERT(Out.m_HigherTierSheds > 0);
  }

  void testPlatformDown() {
    startFleet();
    TierOrderReport Out = runUnderLoad([&] {
      controlStandIn(m_Fleet->platformPort(), {{"down", true}});
      pause(7000);
      controlStandIn(m_Fleet->platformPort(), {{"down", false}});
      pause(2000);
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Out.m_Violations);
    CPPUNIT_ASSERT(Out.m_HigherTierSheds > 0);
  }

  void testSimultaneousFailures() {
    startFleet();
    TierOrderReport Out = runUnderLoad([&] {
      pause(2500);
      int Leader = leaderIndex();
      int Other = (Leader + 1) % InstanceCount;
      controlStandIn(m_Fleet->platformPort(), {{"down", true}});
      m_Fleet->at(Other).m_Process.signal(SIGSTOP);
      killInstance(Leader);
      pause(2000);
      m_Fleet->start(Leader);
      m_Fleet->at(Other).m_Process.signal(SIGCONT);
      pause(1000);
      controlStandIn(m_Fleet->platformPort(), {{"down", false}});
      pause(9000);
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Out.m_Violations);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TierOrderTest);
