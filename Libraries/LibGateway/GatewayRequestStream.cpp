//===-- GatewayRequestStream.cpp - Resumption of streams ------------------===//
#include "LibGateway/GatewayRequest.h"

#include "LibCore/Digest.h"
#include "LibCore/Error.h"
#include "LibCore/Log.h"

#include <algorithm>

namespace yardrill::gateway {

namespace asio = boost::asio;

bool GatewayRequest::isResumable() const {
  return m_Route && m_Route->m_Kind == routing::RouteKind::Stream &&
         m_Route->m_IsResumable;
}

bool GatewayRequest::resumesStream() const {
  return isResumable() &&
         (m_Description.m_LastEvent || m_Description.m_ResumedAttempt);
}

StreamRoute GatewayRequest::streamRoute() const {
  return {routeHash(), m_Pool};
}

std::optional<core::TargetVersion> GatewayRequest::requiredVersion() const {
  if (!m_StreamOrigin || !(m_Relay.isStarted() || resumesStream()))
    return std::nullopt;
  return m_StreamOrigin->m_Version;
}

const char *GatewayRequest::findStreamOrigin(asio::yield_context Yield) {
  if (!isResumable())
    return nullptr;
  m_StreamKey = StreamKey::of(
      m_Account ? m_Account->m_Name.value() : "", m_Description.m_Host,
      m_Caller.request().m_Target,
      m_Description.m_ResumedAttempt.value_or(m_Description.m_Id));
  if (!resumesStream())
    return nullptr;
  if (m_Ticket && !m_Ticket->m_StreamVersion.empty())
    m_StreamOrigin = StreamOrigin{
        m_Ticket->m_StreamPool, core::TargetVersion(m_Ticket->m_StreamVersion)};
  else
    m_StreamOrigin =
        m_Owner.m_StreamOrigins.find(m_StreamKey, streamRoute(), Yield);
  if (!m_StreamOrigin)
    return "stream-origin-unknown";
  const std::vector<routing::WeightedPool> &Pools = m_Route->m_Pools;
  auto Pool = std::find_if(
      Pools.begin(), Pools.end(), [this](const routing::WeightedPool &Each) {
        return routing::hashOf(Each.m_Pool) == m_StreamOrigin->m_Pool;
      });
  if (Pool == Pools.end())
    return "stream-pool-moved";
  if (m_Pool != Pool->m_Pool) {
    m_Pool = Pool->m_Pool;
    identifyContents();
  }
  return nullptr;
}

void GatewayRequest::noteStreamBegin() {
  if (!isResumable())
    return;
  if (m_Target && !m_StreamOrigin)
    m_StreamOrigin = StreamOrigin{routing::hashOf(m_Pool), m_Target->m_Version};
  if (m_StreamOrigin)
    m_Owner.m_StreamOrigins.recordBegin(m_StreamKey, streamRoute(),
                                        *m_StreamOrigin,
                                        m_EndsAt + StreamReturnTime);
}

void GatewayRequest::noteStreamComplete() {
  if (isResumable() && !m_Relay.lastEventId().empty())
    m_Owner.m_StreamOrigins.recordComplete(m_StreamKey);
}

bool GatewayRequest::isStreamVersionGone() const {
  auto Version = requiredVersion();
  return Version && !m_Owner.m_Targets.hasVersion(m_Pool, *Version);
}

void GatewayRequest::stateStreamOrigin(http::ResponseHead &Head) const {
  if (!isResumable())
    return;
  StreamOrigin Origin = m_StreamOrigin.value_or(
      StreamOrigin{routing::hashOf(m_Pool), m_Target->m_Version});
  Head.m_Headers.set(peer::StreamOriginHeader,
                     std::to_string(Origin.m_Pool) + ' ' +
                         core::toHex(Origin.m_Version.value()));
}

bool GatewayRequest::readStreamOrigin(http::ResponseHead &Head) {
  const std::string *Text = Head.m_Headers.find(peer::StreamOriginHeader);
  if (!Text)
    return !requiredVersion();
  std::size_t Blank = Text->find(' ');
  if (Blank == std::string::npos)
    throw core::Error(core::ErrorKind::Protocol,
                      std::string(peer::StreamOriginHeader) + " \"" + *Text +
                          "\" has no version");
  StreamOrigin Stated{
      static_cast<routing::PoolHash>(std::strtoul(Text->c_str(), nullptr, 10)),
      core::TargetVersion(core::fromHex(Text->substr(Blank + 1)))};
  Head.m_Headers.remove(peer::StreamOriginHeader);
  if (requiredVersion())
    return *m_StreamOrigin == Stated;
  m_StreamOrigin = std::move(Stated);
  return true;
}

} // namespace yardrill::gateway
