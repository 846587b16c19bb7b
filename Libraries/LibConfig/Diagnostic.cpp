#include "LibConfig/Diagnostic.h"

namespace yardrill::config {

std::string Diagnostic::toString(const std::string &File) const {
  return File + ":" + std::to_string(m_Line) + ": " + m_Key + ": " + m_Problem +
         "; allowed: " + m_Allowed;
}

static std::string summarize(const std::string &File,
                             const std::vector<Diagnostic> &Diagnostics) {
  std::string Text = std::to_string(Diagnostics.size()) + " errors";
  if (!Diagnostics.empty())
    Text += ", first: " + Diagnostics.front().toString(File);
  return Text;
}

DocumentError::DocumentError(core::ErrorKind Kind, const std::string &File,
                             std::vector<Diagnostic> Diagnostics)
    : Error(Kind, summarize(File, Diagnostics)), m_File(File),
      m_Diagnostics(std::move(Diagnostics)) {}

} // namespace yardrill::config
