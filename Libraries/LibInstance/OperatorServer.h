//===-- OperatorServer.h - The operators' HTTP endpoint -------------------===//
//
// Implemented with cxxtools HTTP: responses are small, complete, and sent by
// the server's own threads.
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
  std::string m_BaseVersion; ///< Query parameter `base` of a publication.
  std::string m_ChangeId;    ///< Query parameter `change` of a publication.
};

struct OperatorResponse {
  unsigned m_Status = 200;
  std::string m_Reason = "OK";
  std::string m_ContentType = "application/json";
  std::string m_Body;
};

/// HTTP server that passes each authorized request to one handler, on several
/// threads.
class OperatorServer {
public:
  using Handler = std::function<OperatorResponse(const OperatorRequest &)>;

  /// \param Token bearer token for all paths except /healthz and /readyz.
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
