#include "CommandLine.h"
#include "RequestTimeline.h"

#include "LibCore/Error.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(logs, "",
              "comma-separated log files, one for each instance; without "
              "it, standard input holds all logs");

namespace yardrill::program {

int runExplain(const std::vector<std::string> &Positionals) {
  RequestTimeline Timeline(Positionals[0]);
  if (FLAGS_logs.empty())
    Timeline.add(std::cin, "instance");
  std::istringstream Names(FLAGS_logs);
  std::string Name;
  while (std::getline(Names, Name, ',')) {
    std::ifstream Log(Name);
    if (!Log)
      throw core::Error(core::ErrorKind::Settings, "cannot read file " + Name);
    Timeline.add(Log, Name);
  }
  if (Timeline.isEmpty()) {
    std::cerr << "yardrill: no log line has request=" << Positionals[0] << '\n';
    return ExitFailure;
  }
  Timeline.print(std::cout);
  return ExitSuccess;
}

} // namespace yardrill::program
