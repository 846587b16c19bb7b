#include "CommandLine.h"

#include "LibConfig/Endpoint.h"
#include "LibConfig/InstanceSettings.h"
#include "LibCore/Digest.h"
#include "LibCore/Error.h"

#include <boost/json.hpp>
#include <chrono>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/query_params.h>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_string(operator, "", "operator address of any instance, IP:PORT");
DEFINE_string(token, "", "operator token");
DECLARE_string(fleet);
DEFINE_int64(base, -1, "version that the change is based on; 0 for the first");
DEFINE_string(change, "", "id of this change; the same one for each retry");
DEFINE_int64(wait_ms, 13000,
             "how long to wait until the change is in force, in milliseconds");
DEFINE_bool(with_version, false, "first print the version in a comment");

namespace yardrill::program {

namespace json = boost::json;

static const int CallTimeoutMilliseconds = 30000;
static const std::chrono::milliseconds StatusPollInterval(100);

namespace {

struct OperatorResponse {
  unsigned m_Status = 0;
  json::value m_Body;
};

} // namespace

static OperatorResponse sendRequest(const std::string &Method,
                                    const std::string &Path,
                                    const std::string &Query,
                                    const std::string &Body) {
  auto Address = config::Endpoint::parse(FLAGS_operator);
  if (!Address)
    throw core::Error(core::ErrorKind::Usage,
                      "--operator must be an IP address and a port");
  try {
    cxxtools::http::Client Client(Address->m_Address, Address->m_Port);
    // cxxtools does not send parameters that are set with qparams().
    cxxtools::http::Request Request(Query.empty() ? Path : Path + "?" + Query);
    Request.method(Method);
    Request.setHeader("Authorization", ("Bearer " + FLAGS_token).c_str());
    Request.body() << Body;
    const auto &Header = Client.execute(
        Request, cxxtools::Milliseconds(CallTimeoutMilliseconds));
    OperatorResponse Out;
    Out.m_Status = Header.httpReturnCode();
    json::error_code Ignored;
    Out.m_Body = json::parse(Client.readBody().body(), Ignored);
    return Out;
  } catch (const std::exception &Failure) {
    throw core::Error(core::ErrorKind::Unavailable,
                      FLAGS_operator + ": " + Failure.what());
  }
}

static int reportFailure(const OperatorResponse &Response) {
  std::cerr << "yardrill: " << json::serialize(Response.m_Body) << '\n';
  if (Response.m_Status == 409)
    return ExitConflict;
  return Response.m_Status == 422 || Response.m_Status == 400 ? ExitBadInput
                                                              : ExitFailure;
}

int runConfigGet(const std::vector<std::string> &) {
  OperatorResponse Response = sendRequest("GET", "/configuration", "", "");
  if (Response.m_Status != 200)
    return reportFailure(Response);
  const json::object &Envelope = Response.m_Body.as_object();
  if (FLAGS_with_version)
    std::cout << "# version " << Envelope.at("version") << '\n';
  std::cout << std::string(Envelope.at("text").as_string());
  return ExitSuccess;
}

int runConfigStatus(const std::vector<std::string> &) {
  OperatorResponse Response = sendRequest("GET", "/status", "", "");
  if (Response.m_Status != 200)
    return reportFailure(Response);
  std::cout << json::serialize(Response.m_Body) << '\n';
  return ExitSuccess;
}

/// Prints each instance that is not in \p Seen and has reached \p Version, and
/// adds it there. \returns whether all instances have.
static bool printUpdatedInstances(std::int64_t Version,
                                  std::vector<std::string> &Seen) {
  OperatorResponse Response = sendRequest("GET", "/status", "", "");
  if (Response.m_Status != 200)
    return false;
  const json::object &Status = Response.m_Body.as_object();
  bool AreAllUpdated = true;
  auto CheckVersion = [&](const json::object &Object, const char *Name) {
    std::string Instance(Object.at(Name).as_string());
    if (Object.at("configuration_version").to_number<std::int64_t>() <
        Version) {
      AreAllUpdated = false;
      return;
    }
    if (std::find(Seen.begin(), Seen.end(), Instance) != Seen.end())
      return;
    Seen.push_back(Instance);
    std::cout << "in force: instance=" << Instance << " version=" << Version
              << std::endl;
  };
  CheckVersion(Status, "instance");
  for (const json::value &Peer : Status.at("peers").as_array())
    CheckVersion(Peer.as_object(), "name");
  return AreAllUpdated;
}

int runConfigPublish(const std::vector<std::string> &) {
  if (FLAGS_fleet.empty() || FLAGS_base < 0)
    throw core::Error(core::ErrorKind::Usage,
                      "config publish needs --fleet=FILE and --base=VERSION");
  std::string Text = config::readFile(FLAGS_fleet);
  if (FLAGS_change.empty())
    FLAGS_change = std::to_string(core::randomBits());
  cxxtools::QueryParams Query;
  Query.add("base", std::to_string(FLAGS_base));
  Query.add("change", FLAGS_change);
  OperatorResponse Response =
      sendRequest("PUT", "/configuration", Query.getUrl(), Text);
  if (Response.m_Status != 200) {
    std::cerr << "yardrill: change id " << FLAGS_change << '\n';
    return reportFailure(Response);
  }
  auto Version =
      Response.m_Body.as_object().at("version").to_number<std::int64_t>();
  std::cout << "accepted: version=" << Version << " change=" << FLAGS_change
            << std::endl;
  std::vector<std::string> Seen;
  auto Deadline = std::chrono::steady_clock::now() +
                  std::chrono::milliseconds(FLAGS_wait_ms);
  while (!printUpdatedInstances(Version, Seen)) {
    if (std::chrono::steady_clock::now() > Deadline) {
      std::cerr
          << "yardrill: accepted, but not in force at all instances within "
             "--wait_ms\n";
      return ExitFailure;
    }
    std::this_thread::sleep_for(StatusPollInterval);
  }
  return ExitSuccess;
}

} // namespace yardrill::program
