//===-- TargetExitDetectorTest.cpp - Exits of targets and probes ----------===//
#include "LibGateway/TargetExitDetector.h"

#include <boost/asio/detached.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::gateway;
using quarantine::ContentDigest;
namespace asio = boost::asio;

class TargetExitDetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetExitDetectorTest);
  CPPUNIT_TEST(testRefusedConnectionReportsAllResponses);
  CPPUNIT_TEST(testListeningTargetHasNotExited);
  CPPUNIT_TEST(testLaterNoticeDecidesAfterInconclusiveProbe);
  CPPUNIT_TEST(testConcurrentBrokenResponsesShareOneProbe);
  CPPUNIT_TEST(testForgetsOldBrokenResponses);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context m_Context;
  ProbeResult m_ProbeResult = ProbeResult::Gone;
  int m_Probes = 0;
  std::vector<ContentDigest> m_Reported;
  int m_Returned = 0;
  TargetExitDetector m_Detector{m_Context, hooks()};

  TargetExitDetectorHooks hooks() {
    TargetExitDetectorHooks Out;
    Out.m_Probe = [this](const routing::Target &, asio::yield_context Yield) {
      ++m_Probes;
      core::Timer Pause(m_Context, std::chrono::milliseconds(5));
      Pause.async_wait(Yield);
      return m_ProbeResult;
    };
    Out.m_ReportExit = [this](const routing::Target &,
                              const std::vector<ContentDigest> &Contents) {
      m_Reported.insert(m_Reported.end(), Contents.begin(), Contents.end());
    };
    return Out;
  }
  static routing::Target target() {
    routing::Target Out;
    Out.m_Name = core::TargetName("i-1");
    return Out;
  }
  void breakResponse(std::uint64_t Number) {
    asio::spawn(
        m_Context,
        [this, Number](asio::yield_context Yield) {
          m_Detector.noteBrokenResponse(target(), {{Number, Number}}, Yield);
          ++m_Returned;
        },
        asio::detached);
  }
  void run() {
    m_Context.restart();
    m_Context.run();
  }

public:
  void testRefusedConnectionReportsAllResponses() {
    breakResponse(1);
    breakResponse(2);
    run();
    CPPUNIT_ASSERT_EQUAL(2, m_Returned);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Reported.size());
    // A response that breaks later needs no further probe.
    breakResponse(3);
    run();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_Reported.size());
    CPPUNIT_ASSERT_EQUAL(1, m_Probes);
  }

  void testListeningTargetHasNotExited() {
    m_ProbeResult = ProbeResult::Listens;
    breakResponse(1);
    run();
    // A later exit has another cause.
    m_Detector.noteTargetExit(target().incarnation());
    CPPUNIT_ASSERT(m_Reported.empty());
  }

  void testLaterNoticeDecidesAfterInconclusiveProbe() {
    m_ProbeResult = ProbeResult::Unknown;
    breakResponse(1);
    run();
    CPPUNIT_ASSERT(m_Reported.empty());
    m_Detector.noteTargetExit(
        routing::TargetIncarnation(core::TargetName("i-2")));
    CPPUNIT_ASSERT(m_Reported.empty());
    m_Detector.noteTargetExit(target().incarnation());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Reported.size());
    m_Detector.noteTargetExit(target().incarnation());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Reported.size());
  }

  void testConcurrentBrokenResponsesShareOneProbe() {
    m_ProbeResult = ProbeResult::Listens;
    for (std::uint64_t I = 0; I < 6; ++I)
      breakResponse(I);
    run();
    CPPUNIT_ASSERT_EQUAL(6, m_Returned);
    CPPUNIT_ASSERT_EQUAL(1, m_Probes);
  }

  void testForgetsOldBrokenResponses() {
    m_ProbeResult = ProbeResult::Unknown;
    breakResponse(1);
    run();
    m_Detector.upkeep(core::steadyNow() + std::chrono::seconds(7));
    m_Detector.noteTargetExit(target().incarnation());
    CPPUNIT_ASSERT(m_Reported.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetExitDetectorTest);
