#include "CommandLine.h"

#include "LibCore/Log.h"

int main(int Count, char **Arguments) {
  yardrill::core::startLogging(Arguments[0]);
  return yardrill::program::runCommandLine(Count, Arguments);
}
