//===-- CommandLine.h - Command line of the yardrill program --------------===//
#ifndef YARDRILL_PROGRAMS_YARDRILL_COMMANDLINE_H
#define YARDRILL_PROGRAMS_YARDRILL_COMMANDLINE_H

#include <functional>
#include <string>
#include <vector>

namespace yardrill::program {

/// Exit codes of all verbs.
inline constexpr int ExitSuccess = 0;
inline constexpr int ExitFailure = 1;  ///< The verb failed.
inline constexpr int ExitBadInput = 2; ///< Invalid command line or input file.
inline constexpr int ExitConflict = 3; ///< Another change came first.

/// Subcommand of the program, for instance `config publish`.
struct Verb {
  std::string m_Name;
  std::string m_Arguments; ///< Synopsis for the help.
  std::string m_Summary;
  std::vector<std::string> m_Flags; ///< Names of its gflags.
  std::size_t m_PositionalCount = 0;
  /// Runs the verb. \returns the exit code.
  std::function<int(const std::vector<std::string> &Positionals)> m_Run;
};

/// Returns all verbs, in the order of the help.
const std::vector<Verb> &verbs();
/// Parses main()'s arguments and runs the verb that they name. \returns the
/// exit code.
int runCommandLine(int Count, char **Arguments);

// Implementations of the verbs, one or more in each …Verb.cpp.
int runServe(const std::vector<std::string> &);
int runGateway(const std::vector<std::string> &);
int runCheck(const std::vector<std::string> &);
int runConfigGet(const std::vector<std::string> &);
int runConfigPublish(const std::vector<std::string> &);
int runConfigStatus(const std::vector<std::string> &);
int runPolicyCheck(const std::vector<std::string> &Positionals);
int runExplain(const std::vector<std::string> &Positionals);
int runQuarantineList(const std::vector<std::string> &);
int runQuarantineLift(const std::vector<std::string> &Positionals);
int runReplay(const std::vector<std::string> &Positionals);

} // namespace yardrill::program

#endif
