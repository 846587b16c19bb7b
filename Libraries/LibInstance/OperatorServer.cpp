#include "LibInstance/OperatorServer.h"

#include "LibCore/Digest.h"
#include "LibCore/Error.h"
#include "LibCore/Log.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/query_params.h>
#include <cxxtools/regex.h>

namespace yardrill::instance {

static const unsigned MinThreads = 1;
static const unsigned MaxThreads = 4;
static const std::string BearerPrefix = "Bearer ";

namespace {

class OperatorResponder final : public cxxtools::http::Responder {
public:
  OperatorResponder(cxxtools::http::Service &Service, const std::string &Token,
                    const OperatorServer::Handler &Handle)
      : Responder(Service), m_Token(Token), m_Handle(Handle) {}

  void reply(std::ostream &Out, cxxtools::http::Request &Request,
             cxxtools::http::Reply &Reply) override;

private:
  OperatorResponse respond(cxxtools::http::Request &Request) const;
  bool isAllowed(const cxxtools::http::Request &Request) const;

  const std::string &m_Token;
  const OperatorServer::Handler &m_Handle;
};

class OperatorService final : public cxxtools::http::Service {
public:
  OperatorService(std::string Token, OperatorServer::Handler Handle)
      : m_Token(std::move(Token)), m_Handle(std::move(Handle)) {}

protected:
  cxxtools::http::Responder *
  createResponder(const cxxtools::http::Request &) override {
    return new OperatorResponder(*this, m_Token, m_Handle);
  }
  void releaseResponder(cxxtools::http::Responder *Old) override { delete Old; }

private:
  std::string m_Token;
  OperatorServer::Handler m_Handle;
};

} // namespace

bool OperatorResponder::isAllowed(
    const cxxtools::http::Request &Request) const {
  if (Request.url() == "/healthz" || Request.url() == "/readyz")
    return true;
  const char *Value = Request.getHeader("Authorization");
  std::string Text = Value ? Value : "";
  return Text.compare(0, BearerPrefix.size(), BearerPrefix) == 0 &&
         core::isEqualConstantTime(Text.substr(BearerPrefix.size()), m_Token);
}

OperatorResponse
OperatorResponder::respond(cxxtools::http::Request &Request) const {
  if (!isAllowed(Request))
    return {401, "Unauthorized", "application/json",
            "{\"type\":\"urn:yardrill:problem:no-credentials\"}\n"};
  OperatorRequest Parsed;
  Parsed.m_Method = Request.method();
  Parsed.m_Path = Request.url();
  Parsed.m_Body = Request.bodyStr();
  cxxtools::QueryParams Query(Request.qparams());
  Parsed.m_BaseVersion = Query["base"];
  Parsed.m_ChangeId = Query["change"];
  try {
    return m_Handle(Parsed);
  } catch (const std::exception &Failure) {
    core::LogLine("operator-request-failed", core::LogLevel::Error)
        .add("path", Parsed.m_Path)
        .add("reason", Failure.what());
    return {500, "Internal Server Error", "application/json",
            "{\"type\":\"urn:yardrill:problem:internal\"}\n"};
  }
}

void OperatorResponder::reply(std::ostream &Out,
                              cxxtools::http::Request &Request,
                              cxxtools::http::Reply &Reply) {
  OperatorResponse Response = respond(Request);
  Reply.httpReturn(Response.m_Status, Response.m_Reason);
  Reply.setHeader("Content-Type", Response.m_ContentType.c_str());
  Out << Response.m_Body;
}

class OperatorServer::Implementation {
public:
  Implementation(const config::Endpoint &Address, std::string Token,
                 Handler Handle)
      : m_Service(std::move(Token), std::move(Handle)),
        m_Server(m_Loop, Address.m_Address, Address.m_Port) {
    m_Server.minThreads(MinThreads);
    m_Server.maxThreads(MaxThreads);
    m_Server.addService(cxxtools::Regex("^/"), m_Service);
  }

  cxxtools::EventLoop m_Loop;
  OperatorService m_Service;
  cxxtools::http::Server m_Server;
};

OperatorServer::OperatorServer(const config::Endpoint &Address,
                               std::string Token, Handler Handle) {
  try {
    m_Impl = std::make_unique<Implementation>(Address, std::move(Token),
                                              std::move(Handle));
  } catch (const std::exception &Failure) {
    throw core::Error(core::ErrorKind::AddressInUse,
                      Address.toString() + ": " + Failure.what());
  }
}

OperatorServer::~OperatorServer() { stop(); }

void OperatorServer::start() {
  m_Thread = std::thread([this] { m_Impl->m_Loop.run(); });
}

void OperatorServer::stop() {
  if (!m_Thread.joinable())
    return;
  m_Impl->m_Loop.exit();
  m_Thread.join();
}

} // namespace yardrill::instance
