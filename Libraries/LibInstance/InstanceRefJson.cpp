#include "LibInstance/InstanceRefJson.h"

namespace yardrill::instance {

boost::json::object toJson(const decision::InstanceRef &Instance) {
  return {{"incarnation", Instance.m_Incarnation.value()},
          {"peer", Instance.m_Peer.toString()}};
}

decision::InstanceRef toInstanceRef(const boost::json::value &Value) {
  const boost::json::object &Object = Value.as_object();
  decision::InstanceRef Out;
  Out.m_Incarnation =
      core::IncarnationId(Object.at("incarnation").to_number<std::uint64_t>());
  auto Peer =
      config::Endpoint::parse(std::string(Object.at("peer").as_string()));
  if (Peer)
    Out.m_Peer = *Peer;
  return Out;
}

} // namespace yardrill::instance
