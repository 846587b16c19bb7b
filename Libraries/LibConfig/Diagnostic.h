//===-- Diagnostic.h - What is wrong in a YAML document -----------------===//
#ifndef YARDRILL_LIBCONFIG_DIAGNOSTIC_H
#define YARDRILL_LIBCONFIG_DIAGNOSTIC_H

#include "LibCore/Error.h"

#include <string>
#include <vector>

namespace yardrill::config {

/// One thing wrong in a document.
struct Diagnostic {
  int m_Line = 0;        ///< From 1; 0 when the document has no such place.
  std::string m_Key;     ///< Path of the key, as `pools[0].targets[1].address`.
  std::string m_Problem; ///< What is wrong.
  std::string m_Allowed; ///< What would be right.

  /// `file:line: key: problem; allowed: …`
  std::string toString(const std::string &File) const;
};

/// Thrown with every fault of the document, not only the first.
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
