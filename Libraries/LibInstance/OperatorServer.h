//===-- OperatorServer.h - The operators' HTTP endpoint
//---------------------===//
//
// cxxtools HTTP (house style): small whole answers, its own few threads.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBINSTANCE_OPERATORSERVER_H
#define YARDRILL_LIBINSTANCE_OPERATORSERVER_H

#include "LibConfig/Endpoint.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace yardrill::instance {

struct OperatorRequest {
  std::string m_Method;
  std::string m_Path;
  std::string m_Body;
  /// Query parameters of a publication.
  std::string m_BaseVersion;
  std::string m_ChangeId;
};

struct OperatorResponse {
  unsigned m_Status = 200;
  std::string m_Reason = "OK";
  std::string m_ContentType = "application/json";
  std::string m_Body;
};

/// Serves one handler; called on several threads.
class OperatorServer {
public:
  using Handler = std::function<OperatorResponse(const OperatorRequest &)>;

  /// \param Token bearer token for everything but /healthz and /readyz.
  /// \throws core::Error of kind AddressInUse.
  OperatorServer(const config::Endpoint &Address, std::string Token,
                 Handler Handle);
  ~OperatorServer();

  void start();
  void stop();

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Impl;
  std::thread m_Thread;
};

} // namespace yardrill::instance

#endif
