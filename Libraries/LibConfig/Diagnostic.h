//===-- Diagnostic.h - Errors in settings and configuration documents -----===//
#ifndef YARDRILL_LIBCONFIG_DIAGNOSTIC_H
#define YARDRILL_LIBCONFIG_DIAGNOSTIC_H

#include "LibCore/Error.h"

#include <string>
#include <vector>

namespace yardrill::config {

/// One error in a YAML or TOML document.
struct Diagnostic {
  int m_Line = 0;        ///< Counted from 1; 0 when the line is not known.
  std::string m_Key;     ///< Path of the key: `pools[0].targets[1].address`.
  std::string m_Problem; ///< Predicate to the key: `is missing`.
  std::string m_Allowed; ///< Values that are accepted at the key.

  /// Formats the diagnostic as `file:line: key: problem; allowed: …`.
  std::string toString(const std::string &File) const;
};

/// Thrown for an invalid document; carries all of its errors, so that an
/// operator can correct them at once.
class DocumentError : public core::Error {
public:
  DocumentError(core::ErrorKind Kind, const std::string &File,
                std::vector<Diagnostic> Diagnostics);
  const std::string &file() const { return m_File; }
  const std::vector<Diagnostic> &diagnostics() const { return m_Diagnostics; }

private:
  std::string m_File;
  std::vector<Diagnostic> m_Diagnostics;
};

} // namespace yardrill::config

#endif
