#include "LibConfig/Fault.h"

namespace yardrill::config {

std::string Fault::toString(const std::string &File) const {
  return File + ":" + std::to_string(m_Line) + ": " + m_Key + ": " + m_Problem +
         "; allowed: " + m_Allowed;
}

static std::string summary(const std::string &File,
                           const std::vector<Fault> &Faults) {
  std::string Text = std::to_string(Faults.size()) + " faults";
  if (!Faults.empty())
    Text += ", first " + Faults.front().toString(File);
  return Text;
}

FaultyDocument::FaultyDocument(core::ErrorKind Kind, const std::string &File,
                               std::vector<Fault> Faults)
    : Error(Kind, summary(File, Faults)), m_File(File),
      m_Faults(std::move(Faults)) {}

} // namespace yardrill::config
