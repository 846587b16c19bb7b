//===-- ProcessTest.cpp - Processes that tests start ----------------------===//
//
// Guards against connections that stay open in a process that was started
// meanwhile, so that their other side never hears of their end.
//
//===----------------------------------------------------------------------===//
#include "Process.h"

#include <cppunit/extensions/HelperMacros.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace yardrill::tests;

class ProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessTest);
  CPPUNIT_TEST(testConnectionEndsAlthoughAProcessWasStarted);
  CPPUNIT_TEST_SUITE_END();

public:
  void testConnectionEndsAlthoughAProcessWasStarted() {
    int Ends[2];
    CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM, 0, Ends));
    Process Started({"/bin/sleep", "30"}, "/dev/null");
    close(Ends[0]);
    pollfd Watched{Ends[1], POLLIN, 0};
    static const int TimeoutMs = 5000;
    CPPUNIT_ASSERT_EQUAL(1, poll(&Watched, 1, TimeoutMs));
    char Byte = 0;
    CPPUNIT_ASSERT_EQUAL(ssize_t(0), read(Ends[1], &Byte, 1));
    close(Ends[1]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessTest);
