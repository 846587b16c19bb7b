//===-- TestMain.cpp - Runs all tests linked into one program -------------===//
#include "Fleet.h"
#include "LibCore/Log.h"

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <csignal>
#include <iostream>

/// Runs all tests, or those given as `Class::test` or `Class`. Fails if no test
/// ran or a fleet had an internal failure.
int main(int Count, char **Arguments) {
  yardrill::core::startLogging(Arguments[0]);
  std::signal(SIGPIPE, SIG_IGN);
  CppUnit::TestResult Result;
  CppUnit::TestResultCollector Collector;
  CppUnit::BriefTestProgressListener Progress;
  Result.addListener(&Collector);
  Result.addListener(&Progress);
  CppUnit::TestRunner Runner;
  Runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  if (Count < 2)
    Runner.run(Result);
  for (int I = 1; I < Count; ++I)
    Runner.run(Result, Arguments[I]);
  CppUnit::CompilerOutputter(&Collector, std::cerr).write();
  bool HasPassed = Collector.wasSuccessful() && Collector.runTests() > 0 &&
                   !yardrill::tests::Fleet::hadInternalFailures();
  return HasPassed ? 0 : 1;
}
