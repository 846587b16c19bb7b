//===-- Fault.h - What is wrong in a YAML document ------------------------===//
#ifndef YARDRILL_LIBCONFIG_FAULT_H
#define YARDRILL_LIBCONFIG_FAULT_H

#include "LibCore/Error.h"

#include <string>
#include <vector>

namespace yardrill::config {

/// One thing wrong in a document.
struct Fault {
  int m_Line = 0;        ///< From 1; 0 when the document has no such place.
  std::string m_Key;     ///< Path of the key, as `pools[0].targets[1].address`.
  std::string m_Problem; ///< What is wrong.
  std::string m_Allowed; ///< What would be right.

  /// `file:line: key: problem; allowed: …`
  std::string toString(const std::string &File) const;
};

/// Thrown with every fault of the document, not only the first.
class FaultyDocument : public core::Error {
public:
  FaultyDocument(core::ErrorKind Kind, const std::string &File,
                 std::vector<Fault> Faults);
  const std::string &file() const { return m_File; }
  const std::vector<Fault> &faults() const { return m_Faults; }

private:
  std::string m_File;
  std::vector<Fault> m_Faults;
};

} // namespace yardrill::config

#endif
