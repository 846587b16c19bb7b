//===-- main.cpp - Runs one stand-in as a process -------------------------===//
//
// usage: stand_in engine|application|platform --port=N [engine's flags]
//
//===----------------------------------------------------------------------===//
#include "Application.h"
#include "LibCore/Log.h"
#include "ModelEngine.h"
#include "Platform.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_int32(port, 0, "port on loopback");
DEFINE_uint64(places, 8, "engine: requests that run at the same time");
DEFINE_double(decode_rate, 200, "engine: output tokens per second and request");
DEFINE_double(prefill_rate, 20000,
              "engine: prompt tokens per second and request");
DEFINE_uint64(cached_prefixes, 16, "engine: capacity of the prefix cache");

using namespace yardrill::standins;

static std::unique_ptr<StandIn> make(const std::string &Kind,
                                     boost::asio::io_context &Context) {
  if (Kind == "engine")
    return std::make_unique<ModelEngine>(
        Context,
        ModelEngineSettings{FLAGS_places, FLAGS_decode_rate, FLAGS_prefill_rate,
                            FLAGS_cached_prefixes});
  if (Kind == "application")
    return std::make_unique<Application>(Context);
  if (Kind != "platform")
    return nullptr;
  auto Out = std::make_unique<Platform>(Context);
  Out->startLeaseExpiry();
  return Out;
}

int main(int Count, char **Arguments) {
  yardrill::core::startLogging(Arguments[0]);
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context Context(1);
  auto Server = make(Count > 1 ? Arguments[1] : "", Context);
  if (!Server) {
    std::cerr << "usage: stand_in engine|application|platform --port=N\n";
    return 2;
  }
  Server->listen(static_cast<std::uint16_t>(FLAGS_port));
  Context.run();
}
