#include "SimulatedNetwork.h"

namespace yardrill::tests {

void SimulatedNetwork::post(std::size_t From, std::size_t To,
                            core::TimePoint Now,
                            std::function<void()> Receive) {
  std::uniform_real_distribution<double> Draw(0, 1);
  // Both are drawn in any case, so that a fault changes no later draw.
  bool IsLost = Draw(m_Random) < m_Settings.m_LossShare;
  auto Delay = std::chrono::duration_cast<core::Duration>(
      m_Settings.m_MinDelay +
      (m_Settings.m_MaxDelay - m_Settings.m_MinDelay) * Draw(m_Random));
  if (IsLost || m_Silent.count(From) != 0 || m_Silent.count(To) != 0)
    return;
  callAt(Now + Delay, std::move(Receive));
}

void SimulatedNetwork::run(core::TimePoint Now) {
  while (!m_Calls.empty() && m_Calls.begin()->first <= Now) {
    std::function<void()> Due = std::move(m_Calls.begin()->second);
    m_Calls.erase(m_Calls.begin());
    Due();
  }
}

void SimulatedNetwork::setSilent(std::size_t Instance, bool IsSilent) {
  if (IsSilent)
    m_Silent.insert(Instance);
  else
    m_Silent.erase(Instance);
}

} // namespace yardrill::tests
