//===-- TargetEndsTest.cpp - Ends of targets, and what looks like one -----===//
#include "LibGateway/TargetEnds.h"

#include <boost/asio/detached.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::gateway;
using quarantine::ContentDigest;
namespace asio = boost::asio;

class TargetEndsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetEndsTest);
  CPPUNIT_TEST(testRefusedConnectionTellsOfAll);
  CPPUNIT_TEST(testOneThatListensHasNotEnded);
  CPPUNIT_TEST(testOthersWordCountsWhereNothingWasSaid);
  CPPUNIT_TEST(testAnswersThatBreakOffTogetherShareOneConnection);
  CPPUNIT_TEST(testForgetsWhatNothingIsHeardOf);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context m_Context;
  Presence m_Presence = Presence::Gone;
  int m_Probes = 0;
  std::vector<ContentDigest> m_Told;
  int m_Returned = 0;
  TargetEnds m_Ends{m_Context, hooks()};

  TargetEndsHooks hooks() {
    TargetEndsHooks Out;
    Out.m_Probe = [this](const routing::Target &, asio::yield_context Yield) {
      ++m_Probes;
      core::Timer Pause(m_Context, std::chrono::milliseconds(5));
      Pause.async_wait(Yield);
      return m_Presence;
    };
    Out.m_EndedUnder = [this](const routing::Target &,
                              const ContentDigest &Content) {
      m_Told.push_back(Content);
    };
    return Out;
  }
  static routing::Target target() {
    routing::Target Out;
    Out.m_Name = core::TargetName("i-1");
    return Out;
  }
  void breakOff(std::uint64_t Number) {
    asio::spawn(
        m_Context,
        [this, Number](asio::yield_context Yield) {
          m_Ends.noteBroken(target(), {Number, Number}, Yield);
          ++m_Returned;
        },
        asio::detached);
  }
  void run() {
    m_Context.restart();
    m_Context.run();
  }

public:
  void testRefusedConnectionTellsOfAll() {
    breakOff(1);
    breakOff(2);
    run();
    CPPUNIT_ASSERT_EQUAL(2, m_Returned);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Told.size());
    // One that is noticed later needs no further connection.
    breakOff(3);
    run();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_Told.size());
    CPPUNIT_ASSERT_EQUAL(1, m_Probes);
  }

  void testOneThatListensHasNotEnded() {
    m_Presence = Presence::Listens;
    breakOff(1);
    run();
    // It ends later, for a reason of its own.
    m_Ends.noteEnded(target().run());
    CPPUNIT_ASSERT(m_Told.empty());
  }

  void testOthersWordCountsWhereNothingWasSaid() {
    m_Presence = Presence::Unknown;
    breakOff(1);
    run();
    CPPUNIT_ASSERT(m_Told.empty());
    m_Ends.noteEnded(routing::TargetIncarnation(core::TargetName("i-2")));
    CPPUNIT_ASSERT(m_Told.empty());
    m_Ends.noteEnded(target().run());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Told.size());
    m_Ends.noteEnded(target().run());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Told.size());
  }

  void testAnswersThatBreakOffTogetherShareOneConnection() {
    m_Presence = Presence::Listens;
    for (std::uint64_t I = 0; I < 6; ++I)
      breakOff(I);
    run();
    CPPUNIT_ASSERT_EQUAL(6, m_Returned);
    CPPUNIT_ASSERT_EQUAL(1, m_Probes);
  }

  void testForgetsWhatNothingIsHeardOf() {
    m_Presence = Presence::Unknown;
    breakOff(1);
    run();
    m_Ends.upkeep(core::steadyNow() + std::chrono::seconds(7));
    m_Ends.noteEnded(target().run());
    CPPUNIT_ASSERT(m_Told.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetEndsTest);
