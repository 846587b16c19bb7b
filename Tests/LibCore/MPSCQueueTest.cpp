#include "LibCore/MPSCQueue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>
#include <vector>

using namespace yardrill::core;

class MPSCQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MPSCQueueTest);
  CPPUNIT_TEST(testFullQueueRejectsPush);
  CPPUNIT_TEST(testManyProducersLoseNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  void testFullQueueRejectsPush() {
    int Wakes = 0;
    MPSCQueue<int> Queue(4, [&] { ++Wakes; });
    for (int I = 0; I < 4; ++I)
      CPPUNIT_ASSERT(Queue.tryPush(I));
    CPPUNIT_ASSERT(!Queue.tryPush(4));
    CPPUNIT_ASSERT_EQUAL(1, Wakes);
    std::vector<int> Out;
    Queue.drain([&](int Value) { Out.push_back(Value); });
    CPPUNIT_ASSERT((Out == std::vector<int>{0, 1, 2, 3}));
    CPPUNIT_ASSERT(Queue.tryPush(5));
    CPPUNIT_ASSERT_EQUAL(2, Wakes);
  }

  void testManyProducersLoseNothing() {
    static const int Producers = 4;
    static const int ItemsPerProducer = 10000;
    std::atomic<int> Wakes{0};
    MPSCQueue<int> Queue(64, [&] { ++Wakes; });
    std::vector<std::thread> Threads;
    for (int P = 0; P < Producers; ++P)
      Threads.emplace_back([&, P] {
        for (int I = 0; I < ItemsPerProducer; ++I)
          while (!Queue.tryPush(P * ItemsPerProducer + I))
            std::this_thread::yield();
      });
    std::vector<int> Last(Producers, -1);
    int Count = 0;
    while (Count < Producers * ItemsPerProducer)
      Queue.drain([&](int Value) {
        int P = Value / ItemsPerProducer;
        CPPUNIT_ASSERT(Last[static_cast<std::size_t>(P)] < Value);
        Last[static_cast<std::size_t>(P)] = Value;
        ++Count;
      });
    for (auto &Thread : Threads)
      Thread.join();
    CPPUNIT_ASSERT(Wakes > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MPSCQueueTest);
