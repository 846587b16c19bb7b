//===-- CommandLine.h - Verbs, flags and exit codes -----------------------===//
#ifndef YARDRILL_PROGRAMS_YARDRILL_COMMANDLINE_H
#define YARDRILL_PROGRAMS_YARDRILL_COMMANDLINE_H

#include <functional>
#include <string>
#include <vector>

namespace yardrill::program {

/// Exit codes of all verbs.
inline constexpr int ExitSuccess = 0;
inline constexpr int ExitFailure = 1;  ///< Understood, but it did not work.
inline constexpr int ExitBadInput = 2; ///< The command line or a file is wrong.
inline constexpr int ExitConflict = 3; ///< Somebody else was first.

/// One verb, for instance `config publish`.
struct Verb {
  std::string m_Name;
  std::string m_Arguments; ///< As the help shows them.
  std::string m_Summary;
  std::vector<std::string> m_Flags; ///< Names of the flags it takes.
  std::size_t m_PositionalCount = 0;
  std::function<int(const std::vector<std::string> &Positionals)> m_Run;
};

const std::vector<Verb> &verbs();
/// Runs the verb that the arguments name. \returns the exit code.
int runCommandLine(int Count, char **Arguments);

// The verbs themselves.
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
