#include "LibInstance/HomeJson.h"

namespace yardrill::instance {

boost::json::object toJson(const decision::Home &Home) {
  return {{"incarnation", Home.m_Incarnation.value()},
          {"peer", Home.m_Peer.toString()}};
}

decision::Home toHome(const boost::json::value &Value) {
  const boost::json::object &Object = Value.as_object();
  decision::Home Out;
  Out.m_Incarnation =
      core::IncarnationId(Object.at("incarnation").to_number<std::uint64_t>());
  auto Peer =
      config::Endpoint::parse(std::string(Object.at("peer").as_string()));
  if (Peer)
    Out.m_Peer = *Peer;
  return Out;
}

} // namespace yardrill::instance
