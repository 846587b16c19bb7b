#include "LibDecision/PoolQueue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <random>

using namespace yardrill;
using namespace yardrill::decision;

class PoolQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PoolQueueTest);
  CPPUNIT_TEST(testHigherTierFirst);
  CPPUNIT_TEST(testFairBetweenAccounts);
  CPPUNIT_TEST(testWeightsCount);
  CPPUNIT_TEST(testSteppingOverCostsNoTurn);
  CPPUNIT_TEST(testShedCandidate);
  CPPUNIT_TEST(testRandomRemovals);
  CPPUNIT_TEST_SUITE_END();

  PoolQueue m_Queue;
  std::uint64_t m_Next = 1;

  core::RequestId push(std::uint32_t Tier, const std::string &Account,
                       double Weight = 1, double Cost = 1) {
    core::RequestId Id(m_Next++);
    m_Queue.push(
        {Id, core::TierNumber(Tier), core::AccountName(Account), Weight, Cost});
    return Id;
  }

  core::RequestId pop() {
    auto Front = m_Queue.front(core::TierNumber(9));
    CPPUNIT_ASSERT(Front);
    CPPUNIT_ASSERT(m_Queue.dequeue(*Front));
    return *Front;
  }

public:
  void setUp() override { m_Queue = PoolQueue(); }

  void testHigherTierFirst() {
    auto Low = push(3, "a");
    auto High = push(1, "a");
    CPPUNIT_ASSERT(!m_Queue.front(core::TierNumber(0)));
    CPPUNIT_ASSERT(pop() == High);
    CPPUNIT_ASSERT(!m_Queue.front(core::TierNumber(2)));
    CPPUNIT_ASSERT(pop() == Low);
  }

  void testFairBetweenAccounts() {
    std::map<core::RequestId, std::string> Owner;
    for (int I = 0; I < 100; ++I)
      Owner[push(2, "large")] = "large";
    for (int I = 0; I < 10; ++I)
      Owner[push(2, "small")] = "small";
    int Small = 0;
    for (int I = 0; I < 20; ++I)
      Small += Owner.at(pop()) == "small";
    CPPUNIT_ASSERT_EQUAL(10, Small);
  }

  void testWeightsCount() {
    std::map<core::RequestId, std::string> Owner;
    for (int I = 0; I < 100; ++I) {
      Owner[push(2, "heavy", 3)] = "heavy";
      Owner[push(2, "light", 1)] = "light";
    }
    int Heavy = 0;
    for (int I = 0; I < 40; ++I)
      Heavy += Owner.at(pop()) == "heavy";
    CPPUNIT_ASSERT(Heavy >= 29 && Heavy <= 31);
  }

  /// An account must not be charged for a request that is removed and put back
  /// because its allowed targets are full.
  void testSteppingOverCostsNoTurn() {
    auto Waiting = push(2, "restricted");
    push(2, "other");
    push(2, "other");
    for (int I = 0; I < 100; ++I) {
      CPPUNIT_ASSERT(m_Queue.remove(Waiting));
      m_Queue.pushFront(
          {Waiting, core::TierNumber(2), core::AccountName("restricted")});
    }
    pop();
    pop();
    // One of the two requests served was the restricted account's.
    CPPUNIT_ASSERT(pop() != Waiting);
  }

  void testShedCandidate() {
    push(1, "a");
    push(3, "a");
    auto Last = push(3, "b");
    push(2, "a");
    CPPUNIT_ASSERT(m_Queue.shedCandidate()->m_Request == Last);
  }

  void testRandomRemovals() {
    std::mt19937 Random(7);
    std::vector<core::RequestId> Waiting;
    for (int I = 0; I < 20000; ++I) {
      if (Random() % 3 != 0 || Waiting.empty()) {
        const char *Accounts[] = {"a", "b", "c", "d", "e"};
        Waiting.push_back(push(1 + static_cast<unsigned>(Random() % 3),
                               Accounts[Random() % 5], 1,
                               1 + static_cast<int>(Random() % 9)));
        continue;
      }
      std::swap(Waiting[Random() % Waiting.size()], Waiting.back());
      CPPUNIT_ASSERT(m_Queue.remove(Waiting.back()));
      CPPUNIT_ASSERT(!m_Queue.remove(Waiting.back()));
      Waiting.pop_back();
      CPPUNIT_ASSERT_EQUAL(Waiting.size(), m_Queue.size());
    }
    while (!m_Queue.isEmpty())
      pop();
    CPPUNIT_ASSERT(!m_Queue.shedCandidate());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolQueueTest);
