//===-- Error.h - Exception type and kinds of errors ----------------------===//
#ifndef YARDRILL_LIBCORE_ERROR_H
#define YARDRILL_LIBCORE_ERROR_H

#include <stdexcept>
#include <string>

namespace yardrill::core {

/// Kind of an error, by which callers decide what to do. Where it says that
/// nothing was done, an operation can be repeated safely.
enum class ErrorKind {
  Usage,          ///< The command line is invalid.
  Settings,       ///< An instance's settings file is invalid.
  Configuration,  ///< A fleet configuration is invalid.
  Conflict,       ///< The value has changed since it was read.
  Unavailable,    ///< Peer unreachable or call rejected; nothing was done.
  Refused,        ///< No process listens at the address; nothing was done.
  OutcomeUnknown, ///< The peer may or may not have done it.
  Protocol,       ///< A message or stored value is malformed.
  BudgetSpent,    ///< This process's own limit was reached; nothing was done.
  AddressInUse,   ///< A listening address could not be bound.
  LimitExceeded,  ///< A message or a list is larger than allowed.
  Trace,          ///< A recorded trace cannot be read.
  Policy,         ///< A policy program is invalid.
};

/// Returns the kind's name as in logs and responses: `outcome-unknown`.
const char *toString(ErrorKind Kind);

/// Base class of all exceptions that yardrill throws. what() is the kind's name
/// and the detail: `usage: serve needs --config=FILE`.
class Error : public std::runtime_error {
public:
  Error(ErrorKind Kind, const std::string &Detail);

  ErrorKind kind() const { return m_Kind; }
  /// Returns the description without the kind's name.
  const std::string &detail() const { return m_Detail; }

private:
  ErrorKind m_Kind;
  std::string m_Detail;
};

} // namespace yardrill::core

#endif
