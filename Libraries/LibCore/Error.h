//===-- Error.h - The failures yardrill can report ------------------------===//
#ifndef YARDRILL_LIBCORE_ERROR_H
#define YARDRILL_LIBCORE_ERROR_H

#include <stdexcept>
#include <string>

namespace yardrill::core {

/// Every failure has a kind; the text only adds the particulars.
enum class ErrorKind {
  Usage,          ///< The command line is wrong.
  Settings,       ///< An instance's settings file is wrong.
  Configuration,  ///< A fleet configuration is wrong.
  Conflict,       ///< Somebody else changed the value first.
  Unavailable,    ///< The other side could not be reached; nothing was done.
  Refused,        ///< Nobody listens at the address; nothing was done.
  OutcomeUnknown, ///< The other side may or may not have done it.
  Protocol,       ///< The other side broke the protocol.
  BudgetSpent,    ///< A limit of our own was reached; nothing was done.
  AddressInUse,   ///< A listening address could not be bound.
  LimitExceeded,  ///< A message is larger than allowed.
  Trace,          ///< A recorded trace cannot be read.
  Policy,         ///< A policy program is wrong.
};

/// The kind's name in lower-case kebab form, as logs and answers show it.
const char *toString(ErrorKind Kind);

/// Base of all exceptions thrown by yardrill.
class Error : public std::runtime_error {
public:
  Error(ErrorKind Kind, const std::string &Detail);

  ErrorKind kind() const { return m_Kind; }
  /// What happened, without the kind's name.
  const std::string &detail() const { return m_Detail; }

private:
  ErrorKind m_Kind;
  std::string m_Detail;
};

} // namespace yardrill::core

#endif
