//===-- RetentionMonitor.cpp - Reports absent instances that still count --===//
#include "LibGateway/RetentionMonitor.h"

#include "LibCore/Log.h"

namespace yardrill::gateway {

void RetentionMonitor::update(const RetainedInstances &Retained) {
  for (const auto &[Address, Reason] : Retained) {
    auto Known = m_Retained.find(Address);
    if (Known != m_Retained.end() && Known->second == Reason)
      continue;
    core::LogLine("instance-retained")
        .add("list", m_List)
        .add("address", Address.toString())
        .add("reason", toString(Reason));
  }
  for (const auto &[Address, Reason] : m_Retained)
    if (Retained.count(Address) == 0)
      core::LogLine("instance-no-longer-retained")
          .add("list", m_List)
          .add("address", Address.toString());
  m_Retained = Retained;
  m_Metrics.setGauge("yardrill_retained_" + m_List,
                     static_cast<double>(m_Retained.size()));
}

} // namespace yardrill::gateway
