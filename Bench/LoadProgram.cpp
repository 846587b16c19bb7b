//===-- LoadProgram.cpp - Closed-loop load on one loopback port -----------===//
//
// Sends streamed completions or application calls from a fixed number of
// callers and prints one line of key=value: latencies to the first body data
// and to the end of the response, and requests per second.
//
//===----------------------------------------------------------------------===//
#include "LibCore/Error.h"
#include "LibCore/Time.h"
#include "LibHTTP/ClientConnection.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <gflags/gflags.h>
#include <iostream>
#include <vector>

DEFINE_int32(port, 0, "port on loopback");
DEFINE_string(label, "", "label of the printed line");
DEFINE_uint64(callers, 1, "number of concurrent callers");
DEFINE_uint64(requests, 1000, "total number of requests");
DEFINE_int32(tokens, 8, "tokens per response");
DEFINE_int32(prompt_bytes, 200, "size of each prompt in bytes");
DEFINE_string(path, "/v1/completions", "path to call");
DEFINE_string(tier, "", "requested tier; empty: the account's default");
DEFINE_string(key, "box-office-secret", "bearer key");
DEFINE_bool(keyed, false, "send a unique Idempotency-Key with each request");
DEFINE_bool(fresh, false, "open a new connection for each request");

using namespace yardrill;

namespace {

/// Latencies of one response.
struct Sample {
  core::Duration m_First{};
  core::Duration m_Total{};
};

struct Totals {
  std::vector<Sample> m_Samples;
  std::size_t m_Sent = 0;
  std::size_t m_Failed = 0;
};

} // namespace

static const std::chrono::seconds CallTimeout(60);

static http::RequestMessage makeRequest(std::size_t Number) {
  http::RequestMessage Out;
  Out.m_Method = "POST";
  Out.m_Target = FLAGS_path;
  Out.m_Headers.set("Host", "load");
  Out.m_Headers.set("Authorization", "Bearer " + FLAGS_key);
  if (!FLAGS_tier.empty())
    Out.m_Headers.set("Yardrill-Tier", FLAGS_tier);
  if (FLAGS_keyed)
    Out.m_Headers.set("Idempotency-Key",
                      FLAGS_label + "-" + std::to_string(Number));
  std::string Prompt = std::to_string(Number);
  Prompt.resize(static_cast<std::size_t>(FLAGS_prompt_bytes), 'x');
  Out.m_Body = "{\"model\":\"assistant-1\",\"prompt\":\"" + Prompt +
               "\",\"max_tokens\":" + std::to_string(FLAGS_tokens) +
               ",\"stream\":true}";
  return Out;
}

static void runCaller(boost::asio::io_context &Context, Totals &All,
                      boost::asio::yield_context Yield) {
  boost::asio::ip::tcp::endpoint Address(
      boost::asio::ip::make_address("127.0.0.1"),
      static_cast<std::uint16_t>(FLAGS_port));
  std::unique_ptr<http::ClientConnection> Connection;
  while (All.m_Sent < FLAGS_requests) {
    http::RequestMessage Request = makeRequest(All.m_Sent++);
    core::TimePoint Start = core::steadyNow();
    try {
      if (!Connection || FLAGS_fresh || !Connection->isReusable())
        Connection = http::ClientConnection::connect(Context, Address,
                                                     CallTimeout, Yield);
      Connection->sendRequest(Request, CallTimeout, Yield);
      auto Head = Connection->readHead(CallTimeout, Yield);
      Sample Next;
      while (!Connection->readBodyData(CallTimeout, Yield).empty())
        if (Next.m_First == core::Duration())
          Next.m_First = core::steadyNow() - Start;
      Next.m_Total = core::steadyNow() - Start;
      if (Head.m_Status == 200)
        All.m_Samples.push_back(Next);
      else
        ++All.m_Failed;
    } catch (const core::Error &) {
      ++All.m_Failed;
      Connection.reset();
    }
  }
}

static std::int64_t percentile(std::vector<std::int64_t> Values,
                               double Quantile) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto Index = static_cast<std::size_t>(Quantile *
                                        static_cast<double>(Values.size() - 1));
  return Values[Index];
}

static void report(const Totals &All, core::Duration Elapsed) {
  std::vector<std::int64_t> First;
  std::vector<std::int64_t> Total;
  for (const Sample &Each : All.m_Samples) {
    First.push_back(Each.m_First.count());
    Total.push_back(Each.m_Total.count());
  }
  std::cout << "label=" << FLAGS_label << " callers=" << FLAGS_callers
            << " answered=" << All.m_Samples.size()
            << " failed=" << All.m_Failed << " requests_per_second="
            << static_cast<std::int64_t>(
                   static_cast<double>(All.m_Samples.size()) /
                   core::toSeconds(Elapsed))
            << " first_p50_us=" << percentile(First, 0.5)
            << " first_p99_us=" << percentile(First, 0.99)
            << " total_p50_us=" << percentile(Total, 0.5)
            << " total_p99_us=" << percentile(Total, 0.99)
            << " total_max_us=" << percentile(Total, 1) << std::endl;
}

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  boost::asio::io_context Context(1);
  Totals All;
  for (std::size_t I = 0; I < FLAGS_callers; ++I)
    boost::asio::spawn(
        Context,
        [&](boost::asio::yield_context Yield) {
          runCaller(Context, All, Yield);
        },
        boost::asio::detached);
  core::TimePoint Start = core::steadyNow();
  Context.run();
  report(All, core::steadyNow() - Start);
  return All.m_Samples.empty() ? 1 : 0;
}
