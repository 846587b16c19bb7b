#include "LibCore/NonBlockingLogWriter.h"

#include "LibCore/Log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <unistd.h>

using namespace yardrill::core;

class NonBlockingLogWriterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NonBlockingLogWriterTest);
  CPPUNIT_TEST(testWritesLines);
  CPPUNIT_TEST(testStalledReaderDoesNotBlock);
  CPPUNIT_TEST(testLinesOverTheRateLimitAreCounted);
  CPPUNIT_TEST(testLogSinkReceivesLines);
  CPPUNIT_TEST_SUITE_END();

  int m_Read = -1;
  int m_Write = -1;
  TimePoint m_Now{std::chrono::hours(1)};

  std::string readAll() const {
    std::string Out;
    char Buffer[65536];
    ssize_t Count = 0;
    while ((Count = read(m_Read, Buffer, sizeof Buffer)) > 0)
      Out.append(Buffer, static_cast<std::size_t>(Count));
    return Out;
  }

public:
  void setUp() override {
    int Ends[2] = {-1, -1};
    CPPUNIT_ASSERT_EQUAL(0, pipe2(Ends, 0));
    m_Read = Ends[0];
    m_Write = Ends[1];
    fcntl(m_Read, F_SETFL, O_NONBLOCK);
  }
  void tearDown() override {
    close(m_Read);
    close(m_Write);
  }

  void testWritesLines() {
    NonBlockingLogWriter Log(m_Write, {});
    Log.add("a=1", m_Now);
    Log.add("b=2", m_Now);
    Log.flush(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("a=1\nb=2\n"), readAll());
  }

  void testStalledReaderDoesNotBlock() {
    LogWriterLimits Limits;
    Limits.m_Burst = 1e6;
    NonBlockingLogWriter Log(m_Write, Limits);
    std::string Line(1000, 'x');
    // The pipe holds 64 KiB and the buffer 256 KiB; other lines are dropped.
    for (int I = 0; I < 1000; ++I) {
      Log.add(Line, m_Now);
      Log.flush(m_Now);
    }
    CPPUNIT_ASSERT(Log.droppedLines() > 500);
    readAll();
    for (int I = 0; I < 10; ++I) {
      Log.flush(m_Now);
      if (readAll().find("event=log-lines-dropped count=") != std::string::npos)
        return;
    }
    CPPUNIT_FAIL("dropped lines were not reported");
  }

  void testLinesOverTheRateLimitAreCounted() {
    NonBlockingLogWriter Log(m_Write, {10, 20, 262144});
    for (int I = 0; I < 100; ++I)
      Log.add("line", m_Now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(80), Log.droppedLines());
    m_Now += std::chrono::seconds(1);
    Log.add("last", m_Now);
    Log.flush(m_Now);
    std::string Text = readAll();
    CPPUNIT_ASSERT(Text.find("count=80\nlast\n") != std::string::npos);
  }

  void testLogSinkReceivesLines() {
    std::string Received;
    setLogSink([&Received](const std::string &Line) { Received = Line; });
    LogLine("something").add("key", 1);
    setLogSink(nullptr);
    CPPUNIT_ASSERT(Received.find("event=something key=1") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NonBlockingLogWriterTest);
