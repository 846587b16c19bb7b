#include "CommandLine.h"

#include "LibConfig/Diagnostic.h"
#include "LibCore/Error.h"

#include <algorithm>
#include <gflags/gflags.h>
#include <iostream>

namespace yardrill::program {

static const char Version[] = "0.1.0";

static int runVersion(const std::vector<std::string> &) {
  std::cout << "yardrill " << Version << '\n';
  return ExitSuccess;
}

const std::vector<Verb> &verbs() {
  static const std::vector<Verb> All = {
      {"serve",
       "--config=FILE",
       "run one instance until SIGTERM",
       {"config"},
       0,
       runServe},
      {"gateway",
       "[--config=FILE] [--least_outstanding] [--group_size=N] "
       "[--overload_off=NAME,NAME,...]",
       "run one instance on the platform until SIGTERM; without --config, the "
       "environment names the settings file",
       {"config", "least_outstanding", "group_size", "overload_off"},
       0,
       runGateway},
      {"check",
       "--config=FILE | --fleet=FILE | --deployment=FILE | --example | "
       "--fleet_example | --gateway_example",
       "check a settings file or a fleet configuration, or print a commented "
       "example",
       {"config", "fleet", "deployment", "example", "fleet_example",
        "gateway_example"},
       0,
       runCheck},
      {"config get",
       "--operator=IP:PORT --token=TOKEN",
       "print the fleet configuration in force",
       {"operator", "token", "with_version"},
       0,
       runConfigGet},
      {"config publish",
       "--operator=IP:PORT --token=TOKEN --fleet=FILE --base=VERSION "
       "[--change=ID] [--wait_ms=N]",
       "publish a fleet configuration and wait until it is in force",
       {"operator", "token", "fleet", "base", "change", "wait_ms"},
       0,
       runConfigPublish},
      {"config status",
       "--operator=IP:PORT --token=TOKEN",
       "print an instance's state: version in force, peers, targets, queues",
       {"operator", "token"},
       0,
       runConfigStatus},
      {"policy check",
       "FILE",
       "compile a policy program and run it on sample requests",
       {},
       1,
       runPolicyCheck},
      {"replay",
       "TRACE",
       "run a recorded trace through the decision core and compare",
       {},
       1,
       runReplay},
      {"explain",
       "REQUEST [--logs=FILE,FILE,...]",
       "print the timeline of one request from the logs of all instances",
       {"logs"},
       1,
       runExplain},
      {"quarantine list",
       "[--config=FILE]",
       "print the request contents recorded as making targets exit; the "
       "settings file is the gateway's",
       {"config"},
       0,
       runQuarantineList},
      {"quarantine lift",
       "CONTENT [--config=FILE]",
       "release a quarantined request content at all instances",
       {"config"},
       1,
       runQuarantineLift},
      {"version", "", "print the version", {}, 0, runVersion},
  };
  return All;
}

static void printVerb(std::ostream &Out, const Verb &V) {
  Out << "  yardrill " << V.m_Name;
  if (!V.m_Arguments.empty())
    Out << ' ' << V.m_Arguments;
  Out << "\n      " << V.m_Summary << '\n';
}

static int printHelp(const std::string &Name) {
  bool IsFound = Name.empty();
  std::cout << "usage:\n";
  for (const Verb &Each : verbs()) {
    if (!Name.empty() && Each.m_Name != Name)
      continue;
    IsFound = true;
    printVerb(std::cout, Each);
    if (Name.empty())
      continue;
    for (const std::string &Flag : Each.m_Flags) {
      auto Info = gflags::GetCommandLineFlagInfoOrDie(Flag.c_str());
      std::cout << "      --" << Flag << " (" << Info.type
                << "): " << Info.description << '\n';
    }
  }
  if (Name.empty())
    std::cout << "  yardrill help [VERB]\n      print this, or one verb with "
                 "its flags\n";
  if (!IsFound)
    std::cerr << "yardrill: usage: no verb \"" << Name << "\"\n";
  return IsFound ? ExitSuccess : ExitBadInput;
}

static int usageError(const std::string &Detail) {
  std::cerr << "yardrill: usage: " << Detail << "; see yardrill help\n";
  return ExitBadInput;
}

/// Sets the flag in \p Argument. gflags' own parser would exit on an invalid
/// flag and accept the flags of all verbs, so only its registry is used.
static bool setFlag(const Verb &V, const std::string &Argument,
                    std::string &Problem) {
  std::size_t NameStart = Argument.find_first_not_of('-');
  std::size_t Equals = Argument.find('=');
  std::string Name = NameStart == std::string::npos
                         ? ""
                         : Argument.substr(NameStart, Equals - NameStart);
  const auto &Flags = V.m_Flags;
  if (std::find(Flags.begin(), Flags.end(), Name) == Flags.end()) {
    Problem = V.m_Name + " has no flag " + Argument;
    return false;
  }
  std::string Value =
      Equals == std::string::npos ? "true" : Argument.substr(Equals + 1);
  if (!gflags::SetCommandLineOption(Name.c_str(), Value.c_str()).empty())
    return true;
  Problem = "--" + Name + " can't be \"" + Value + "\"";
  return false;
}

static int run(const Verb &V, const std::vector<std::string> &Rest) {
  std::vector<std::string> Positionals;
  for (const std::string &Argument : Rest) {
    std::string Problem;
    if (Argument.empty() || Argument.front() != '-')
      Positionals.push_back(Argument);
    else if (!setFlag(V, Argument, Problem))
      return usageError(Problem);
  }
  if (Positionals.size() != V.m_PositionalCount)
    return usageError(V.m_Name + " takes " +
                      std::to_string(V.m_PositionalCount) +
                      " arguments besides its flags");
  try {
    return V.m_Run(Positionals);
  } catch (const config::DocumentError &Failure) {
    for (const config::Diagnostic &Each : Failure.diagnostics())
      std::cerr << Each.toString(Failure.file()) << '\n';
    return ExitBadInput;
  } catch (const core::Error &Failure) {
    std::cerr << "yardrill: " << Failure.what() << '\n';
    bool IsInput = Failure.kind() == core::ErrorKind::Settings ||
                   Failure.kind() == core::ErrorKind::Usage ||
                   Failure.kind() == core::ErrorKind::Policy ||
                   Failure.kind() == core::ErrorKind::Trace;
    return IsInput ? ExitBadInput : ExitFailure;
  } catch (const std::exception &Failure) {
    std::cerr << "yardrill: " << Failure.what() << '\n';
    return ExitFailure;
  }
}

int runCommandLine(int Count, char **Arguments) {
  std::vector<std::string> All(Arguments + 1, Arguments + Count);
  if (All.empty())
    return usageError("no verb");
  if (All[0] == "help" || All[0] == "--help") {
    std::string Name;
    for (std::size_t I = 1; I < All.size(); ++I)
      Name += (Name.empty() ? "" : " ") + All[I];
    return printHelp(Name);
  }
  for (std::size_t Words = std::min<std::size_t>(2, All.size()); Words > 0;
       --Words) {
    std::string Name = Words == 2 ? All[0] + " " + All[1] : All[0];
    for (const Verb &Each : verbs())
      if (Each.m_Name == Name)
        return run(Each, {All.begin() + static_cast<long>(Words), All.end()});
  }
  return usageError("no verb \"" + All[0] + "\"");
}

} // namespace yardrill::program
