#include "CommandLine.h"
#include "RequestStory.h"

#include "LibCore/Error.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(logs, "",
              "log files, separated by commas, one for each instance; without "
              "it, all logs come on standard input");

namespace yardrill::program {

int runExplain(const std::vector<std::string> &Positionals) {
  RequestStory Story(Positionals[0]);
  if (FLAGS_logs.empty())
    Story.add(std::cin, "instance");
  std::istringstream Names(FLAGS_logs);
  std::string Name;
  while (std::getline(Names, Name, ',')) {
    std::ifstream Log(Name);
    if (!Log)
      throw core::Error(core::ErrorKind::Settings, "cannot read file " + Name);
    Story.add(Log, Name);
  }
  if (Story.isEmpty()) {
    std::cerr << "yardrill: no line names request " << Positionals[0] << '\n';
    return ExitFailed;
  }
  Story.print(std::cout);
  return ExitDone;
}

} // namespace yardrill::program
