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

namespace {

struct PurposeVisitor {
  const char *operator()(const Heartbeat &) const { return "heartbeat"; }
  const char *operator()(const decision::ThresholdCommand &) const {
    return "threshold";
  }
  const char *operator()(const decision::ThresholdReport &) const {
    return "threshold";
  }
  const char *operator()(const LoadReport &Report) const {
    return Report.m_IsFull ? "full_report" : "load_report";
  }
  const char *operator()(const QuotaRequest &) const { return "quota"; }
  const char *operator()(const QuotaResponse &) const { return "quota"; }
  const char *operator()(const RolloutReport &) const { return "rollout"; }
  const char *operator()(const RolloutPermit &) const { return "rollout"; }
  const char *operator()(const QuarantineUpdate &) const {
    return "quarantine";
  }
  const char *operator()(const BackpressureUpdate &) const {
    return "backpressure";
  }
  const char *operator()(const StoreNews &) const { return "store_news"; }
  const char *operator()(const FollowerHeartbeat &) const {
    return "follower_heartbeat";
  }
  const char *operator()(const GroupStatus &) const { return "group_status"; }
};

} // namespace

const char *purposeOf(const PeerBody &Body) {
  return std::visit(PurposeVisitor(), Body);
}

} // namespace yardrill::peer
