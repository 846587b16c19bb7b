#include "LibPeer/PeerMessage.h"

#include <algorithm>

namespace yardrill::peer {

LoadReport shortened(const LoadReport &Full, const LoadReport &Before) {
  LoadReport Out = Full;
  Out.m_IsFull = false;
  Out.m_Name = core::InstanceName();
  Out.m_DataHall = core::DataHallName();
  auto IsKnown = [&Before](const AccountUse &Use) {
    return std::find(Before.m_Accounts.begin(), Before.m_Accounts.end(), Use) !=
           Before.m_Accounts.end();
  };
  Out.m_Accounts.erase(
      std::remove_if(Out.m_Accounts.begin(), Out.m_Accounts.end(), IsKnown),
      Out.m_Accounts.end());
  return Out;
}

LoadReport completed(const LoadReport &Short, const LoadReport &Before) {
  LoadReport Out = Short;
  Out.m_IsFull = true;
  Out.m_Name = Before.m_Name;
  Out.m_DataHall = Before.m_DataHall;
  for (const AccountUse &Old : Before.m_Accounts) {
    auto IsSame = [&Old](const AccountUse &Use) {
      return Use.m_Account == Old.m_Account;
    };
    if (std::none_of(Short.m_Accounts.begin(), Short.m_Accounts.end(), IsSame))
      Out.m_Accounts.push_back(Old);
  }
  return Out;
}

} // namespace yardrill::peer
