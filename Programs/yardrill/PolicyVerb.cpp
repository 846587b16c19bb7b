#include "CommandLine.h"

#include "LibConfig/InstanceSettings.h"
#include "LibPolicy/PolicyProgram.h"

#include <iostream>

namespace yardrill::program {

int runPolicyCheck(const std::vector<std::string> &Positionals) {
  policy::PolicyProgram::check(config::readFile(Positionals.front()));
  std::cout << "ok\n";
  return ExitSuccess;
}

} // namespace yardrill::program
