//===-- CompleteResponseTest.cpp - Responses are complete and not mixed ---===//
//
// Guards against responses that are truncated, or that reach the caller of
// another request when they arrive late or out of order.
//
//===----------------------------------------------------------------------===//
#include "Fleet.h"

#include "LibCore/Digest.h"
#include "ModelEngine.h"

#include <boost/asio.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <thread>

using namespace yardrill;
using namespace yardrill::tests;

static std::string expectedText(const std::string &Prompt, int Tokens) {
  std::string Out;
  for (int I = 0; I < Tokens; ++I)
    Out += standins::ModelEngine::tokenOf(Prompt, static_cast<size_t>(I));
  return Out;
}

class CompleteResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CompleteResponseTest);
  CPPUNIT_TEST(testRandomBodies);
  CPPUNIT_TEST(testResponsesOutOfOrder);
  CPPUNIT_TEST(testTruncatedResponseNeverLooksComplete);
  CPPUNIT_TEST(testDisconnectCancelsRequest);
  CPPUNIT_TEST(testSlowReaderDoesNotBlockOthers);
  CPPUNIT_TEST(testMethodsAndEmptyResponses);
  CPPUNIT_TEST_SUITE_END();

  static Fleet::Options fleetOptions(int Instances, int Engines) {
    Fleet::Options Out;
    Out.m_Instances = Instances;
    Out.m_Engines = Engines;
    Out.m_Slots = 32;
    return Out;
  }

public:
  void testRandomBodies() {
    Fleet TestFleet(fleetOptions(2, 1));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    std::vector<std::thread> Workers;
    std::atomic<int> CorrectCount{0};
    for (unsigned Seed = 0; Seed < 8; ++Seed)
      Workers.emplace_back([&, Seed] {
        std::mt19937 Random(Seed);
        for (int I = 0; I < 25; ++I) {
          std::string Body(Random() % (1U << (Random() % 19)), '\0');
          for (char &C : Body)
            C = static_cast<char>(Random());
          Reply Response = call(TestFleet.at(I % 2).m_CallerPort,
                                applicationRequest("/echo", "body", Body));
          CorrectCount +=
              Response.m_Status == 200 && Response.m_Body == Body &&
              Response.header("Body-Sha256") == core::sha256Hex(Body);
        }
      });
    for (auto &Each : Workers)
      Each.join();
    CPPUNIT_ASSERT_EQUAL(200, CorrectCount.load());
  }

  void testResponsesOutOfOrder() {
    Fleet TestFleet(fleetOptions(2, 2));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    // One engine is slow, so that responses overtake each other.
    controlStandIn(TestFleet.enginePort(0), {{"slowness", 4}});
    std::vector<std::future<Reply>> Replies;
    for (int I = 0; I < 48; ++I)
      Replies.push_back(
          callAsync(TestFleet.at(I % 2).m_CallerPort,
                    completionRequest("prompt " + std::to_string(I), 1 + I % 20,
                                      I % 3 != 0)));
    for (int I = 0; I < 48; ++I) {
      Reply Response = Replies[static_cast<std::size_t>(I)].get();
      CPPUNIT_ASSERT_EQUAL(200U, Response.m_Status);
      CPPUNIT_ASSERT(Response.isComplete());
      CPPUNIT_ASSERT_EQUAL(
          expectedText("prompt " + std::to_string(I), 1 + I % 20),
          completionText(Response));
    }
  }

  void testTruncatedResponseNeverLooksComplete() {
    Fleet TestFleet(fleetOptions(1, 1));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    controlStandIn(TestFleet.enginePort(0), {{"break_after_tokens", 3}});
    for (bool IsStream : {true, false}) {
      Reply Response = call(TestFleet.at(0).m_CallerPort,
                            completionRequest("cut", 10, IsStream));
      bool IsReported = Response.problem("outcome") == "outcome-unknown";
      CPPUNIT_ASSERT(!Response.isComplete() || IsReported);
      CPPUNIT_ASSERT(Response.m_Body.find("[DONE]") == std::string::npos);
    }
    // The same when the engine's process is killed during the response.
    controlStandIn(TestFleet.enginePort(0), {{"break_after_tokens", -1}});
    bool IsKilled = false;
    Reply Response =
        call(TestFleet.at(0).m_CallerPort, completionRequest("kill", 500, true),
             [&](const std::string &) {
               if (!IsKilled)
                 TestFleet.engine(0).kill();
               return IsKilled = true;
             });
    CPPUNIT_ASSERT(!Response.isComplete());
  }

  void testDisconnectCancelsRequest() {
    Fleet TestFleet(fleetOptions(1, 1));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    for (int I = 0; I < 20; ++I) {
      Reply Cut =
          call(TestFleet.at(0).m_CallerPort,
               completionRequest("left " + std::to_string(I), 2000, true),
               [](const std::string &) { return false; });
      CPPUNIT_ASSERT(!Cut.isComplete());
      std::string Prompt = "next " + std::to_string(I);
      Reply Next = call(TestFleet.at(0).m_CallerPort,
                        completionRequest(Prompt, 5, I % 2 == 0));
      CPPUNIT_ASSERT_EQUAL(expectedText(Prompt, 5), completionText(Next));
    }
    CPPUNIT_ASSERT(eventually([&] {
      auto Counters = countersOf(TestFleet.enginePort(0));
      return Counters.at("cancelled").to_number<int>() == 20 &&
             Counters.at("busy").to_number<int>() == 0;
    }));
    // The instance keeps no state of the cancelled requests.
    CPPUNIT_ASSERT(eventually([&] {
      return TestFleet.status(0).at("open_requests").to_number<int>() == 0;
    }));
  }

  void testSlowReaderDoesNotBlockOthers() {
    namespace asio = boost::asio;
    Fleet TestFleet(fleetOptions(1, 1));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    // Larger than all socket buffers on the way; not read until the end.
    std::string Body(7UL * 1024 * 1024, 'x');
    http::RequestMessage Request = applicationRequest("/echo", "slow", Body);
    std::string Text = "POST " + Request.m_Target + " HTTP/1.1\r\n";
    for (const http::Header &H : Request.m_Headers)
      Text += H.m_Name + ": " + H.m_Value + "\r\n";
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
    asio::io_context Context;
    asio::ip::tcp::socket Slow(Context);
    Slow.connect({asio::ip::make_address("127.0.0.1"),
                  static_cast<std::uint16_t>(TestFleet.at(0).m_CallerPort)});
    asio::write(Slow, asio::buffer(Text + Body));
    CPPUNIT_ASSERT(eventually([&] {
      return executionsOf(TestFleet.applicationPort(), "slow") == 1;
    }));
    for (int I = 0; I < 20; ++I)
      CPPUNIT_ASSERT_EQUAL(200U, call(TestFleet.at(0).m_CallerPort,
                                      applicationRequest("/echo", "fast"))
                                     .m_Status);
    std::string Response;
    std::vector<char> Buffer(65536);
    while (Response.size() < Body.size()) {
      std::size_t Size = Slow.read_some(asio::buffer(Buffer));
      Response.append(Buffer.data(), Size);
    }
    CPPUNIT_ASSERT(Response.find(Body) != std::string::npos ||
                   Response.size() > Body.size());
  }

  void testMethodsAndEmptyResponses() {
    Fleet TestFleet(fleetOptions(1, 1));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    for (const char *Method : {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"}) {
      http::RequestMessage Request =
          applicationRequest("/any?a=b%20c", "m", "");
      Request.m_Method = Method;
      Reply Response = call(TestFleet.at(0).m_CallerPort, Request);
      CPPUNIT_ASSERT_EQUAL(200U, Response.m_Status);
      CPPUNIT_ASSERT(Response.isComplete());
      CPPUNIT_ASSERT_EQUAL(std::string("/any?a=b%20c"),
                           Response.header("Seen-Target"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompleteResponseTest);
