#include "CommandLine.h"

#include "LibCore/Error.h"
#include "LibDecision/Trace.h"

#include <fstream>
#include <iostream>

namespace yardrill::program {

int runReplay(const std::vector<std::string> &Positionals) {
  std::ifstream Trace(Positionals.front());
  if (!Trace)
    throw core::Error(core::ErrorKind::Trace,
                      "cannot read " + Positionals.front());
  decision::ReplayResult Result = decision::replay(Trace);
  if (Result.isSame()) {
    std::cout << "same: events=" << Result.m_Events
              << " actions=" << Result.m_Actions
              << " dispatched=" << Result.m_Dispatched
              << " dispatched_again=" << Result.m_DuplicateDispatches
              << " refused=" << Result.m_Refused
              << " refused_after_dispatch=" << Result.m_RefusedAfterDispatch
              << '\n';
    return ExitSuccess;
  }
  std::cout << Positionals.front() << ':' << Result.m_DifferentLine
            << ": different\nexpected: " << Result.m_Expected
            << "\nactual:   " << Result.m_Actual << '\n';
  return ExitFailure;
}

} // namespace yardrill::program
