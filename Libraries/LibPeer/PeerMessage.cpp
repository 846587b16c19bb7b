//===-- PeerMessage.cpp - Short and full load reports ---------------------===//
#include "LibPeer/PeerMessage.h"

namespace yardrill::peer {

LoadReport shortened(const LoadReport &Full) {
  LoadReport Out = Full;
  Out.m_IsFull = false;
  Out.m_Name = core::InstanceName();
  Out.m_DataHall = core::DataHallName();
  return Out;
}

LoadReport completed(const LoadReport &Short, const LoadReport &Previous) {
  LoadReport Out = Short;
  Out.m_IsFull = true;
  Out.m_Name = Previous.m_Name;
  Out.m_DataHall = Previous.m_DataHall;
  return Out;
}

} // namespace yardrill::peer
