//===-- IntakeLimiterTest.cpp - When connections are refused --------------===//
//
// Guards against a process that reads more than its link or its event loop
// bears, against one that refuses connections although it is idle, and against
// a server that never accepts again.
//
//===----------------------------------------------------------------------===//
#include "LibHTTP/IntakeLimiter.h"
#include "LibHTTP/Server.h"
#include "TestClient.h"

#include <boost/asio.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <list>
#include <thread>

using namespace yardrill;
using namespace yardrill::http;
using namespace yardrill::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace asio = boost::asio;
using asio::ip::tcp;

class IntakeLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IntakeLimiterTest);
  CPPUNIT_TEST(testLinkBoundsWhatIsRead);
  CPPUNIT_TEST(testLinkBoundsWhatIsSent);
  CPPUNIT_TEST(testLargeLinkIsNotBusy);
  CPPUNIT_TEST(testLargeRequestPassesASmallLink);
  CPPUNIT_TEST(testSlowLoopAcceptsWhatItPasses);
  CPPUNIT_TEST(testFastLoopAcceptsABurst);
  CPPUNIT_TEST(testIdleProcessAcceptsAClump);
  CPPUNIT_TEST(testSlowCallersKeepNobodyOut);
  CPPUNIT_TEST(testServerRefusesAndAcceptsAgain);
  CPPUNIT_TEST(testLargeResponseKeepsNobodyOut);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double SmallLink = 1.25e6; ///< 10 Mbit/s.
  static constexpr std::size_t BodyBytes = 7000;

  core::TimePoint m_Now{seconds(1000)};

  void transfer(const IntakeLimiter &Limiter, core::Duration Length) const {
    TransferMeter::Transfer Each(Limiter.transfers());
    Each.begin(m_Now - Length);
    Each.complete(m_Now);
  }
  void readRequest(IntakeLimiter &Limiter, std::size_t Bytes) const {
    Limiter.link().recordRequestHead(m_Now);
    Limiter.link().recordRequestBody(Bytes, m_Now);
  }
  /// Offers \p PerSecond requests for two seconds. \returns the number of those
  /// that were accepted in the second one.
  int offer(IntakeLimiter &Limiter, int PerSecond,
            const std::function<void()> &Accept) {
    int Accepted = 0;
    for (int I = 0; I < 2 * PerSecond; ++I) {
      m_Now +=
          std::chrono::duration_cast<core::Duration>(seconds(1)) / PerSecond;
      if (!Limiter.mayAccept(m_Now))
        continue;
      Accept();
      Accepted += I >= PerSecond ? 1 : 0;
    }
    return Accepted;
  }

public:
  void testLinkBoundsWhatIsRead() {
    IntakeLimiter Limiter(SmallLink);
    int Accepted =
        offer(Limiter, 1000, [&] { readRequest(Limiter, BodyBytes); });
    CPPUNIT_ASSERT(Accepted * BodyBytes < SmallLink);
    CPPUNIT_ASSERT(Accepted * BodyBytes > SmallLink / 2);
  }

  void testLinkBoundsWhatIsSent() {
    IntakeLimiter Limiter(SmallLink);
    int Accepted = offer(Limiter, 1000, [&] {
      readRequest(Limiter, 0);
      Limiter.link().recordResponse(BodyBytes, m_Now);
    });
    CPPUNIT_ASSERT(Accepted * BodyBytes < SmallLink);
    CPPUNIT_ASSERT(Accepted * BodyBytes > SmallLink / 2);
  }

  void testLargeLinkIsNotBusy() {
    IntakeLimiter Limiter(20 * SmallLink);
    CPPUNIT_ASSERT_EQUAL(1000, offer(Limiter, 1000, [&] {
                           readRequest(Limiter, BodyBytes);
                           Limiter.link().recordRequestSent(BodyBytes, m_Now);
                         }));
  }

  void testLargeRequestPassesASmallLink() {
    IntakeLimiter Limiter(SmallLink);
    for (int I = 0; I < 4; ++I) {
      readRequest(Limiter, 2000000);
      m_Now += seconds(4);
      CPPUNIT_ASSERT(Limiter.mayAccept(m_Now));
    }
  }

  void testSlowLoopAcceptsWhatItPasses() {
    IntakeLimiter Limiter(1000 * SmallLink);
    // 200 requests a second pass, each in 400 ms.
    for (int I = 0; I < 200; ++I) {
      m_Now += milliseconds(5);
      transfer(Limiter, milliseconds(400));
    }
    std::list<TransferMeter::Transfer> Open;
    while (Limiter.mayAccept(m_Now) && Open.size() < 1000)
      Open.emplace_back(Limiter.transfers()).begin(m_Now);
    CPPUNIT_ASSERT(Open.size() >= 16 && Open.size() <= 30);
  }

  void testFastLoopAcceptsABurst() {
    IntakeLimiter Limiter(1000 * SmallLink);
    for (int I = 0; I < 10; ++I) {
      m_Now += milliseconds(100);
      transfer(Limiter, milliseconds(1));
    }
    std::list<TransferMeter::Transfer> Open;
    while (Limiter.mayAccept(m_Now) && Open.size() < 1000)
      Open.emplace_back(Limiter.transfers()).begin(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1000), Open.size());
  }

  void testIdleProcessAcceptsAClump() {
    for (bool HasServed : {false, true}) {
      IntakeLimiter Limiter(SmallLink);
      if (HasServed)
        readRequest(Limiter, BodyBytes);
      m_Now += seconds(1);
      std::list<TransferMeter::Transfer> Open;
      for (int I = 0; I < 25; ++I) {
        CPPUNIT_ASSERT(Limiter.mayAccept(m_Now));
        Open.emplace_back(Limiter.transfers()).begin(m_Now);
      }
    }
  }

  void testSlowCallersKeepNobodyOut() {
    IntakeLimiter Limiter(1000 * SmallLink);
    std::list<TransferMeter::Transfer> Slow;
    for (int I = 0; I < 200; ++I) {
      m_Now += milliseconds(10);
      Slow.emplace_back(Limiter.transfers()).begin(m_Now);
      transfer(Limiter, milliseconds(1));
      CPPUNIT_ASSERT(Limiter.mayAccept(m_Now));
    }
  }

  void testLargeResponseKeepsNobodyOut() {
    asio::io_context Context{1};
    ServerLimits Limits;
    Limits.m_LinkBytesPerSecond = SmallLink;
    auto Respond = [](Exchange &Call, asio::yield_context Yield) {
      ResponseMessage Response;
      Response.m_Head.m_Status = 200;
      if (Call.request().m_Target == "/large")
        Response.m_Body = std::string(8000000, 'x');
      Call.sendResponse(std::move(Response), Yield);
    };
    auto Tested = Server::create(
        Context, {asio::ip::make_address("127.0.0.1"), 0}, Limits, Respond,
        [](unsigned) { return ResponseMessage(); });
    int Port = Tested->port();
    std::thread Thread([&Context] { Context.run(); });
    RequestMessage Request;
    Request.m_Method = "GET";
    Request.m_Target = "/large";
    Request.m_Headers.set("Host", "h");
    std::size_t Received = call(Port, Request).m_Body.size();
    Request.m_Target = "/small";
    unsigned Status = call(Port, Request).m_Status;
    Context.stop();
    Thread.join();
    CPPUNIT_ASSERT_EQUAL(std::size_t(8000000), Received);
    CPPUNIT_ASSERT_EQUAL(200U, Status);
  }

  void testServerRefusesAndAcceptsAgain() {
    asio::io_context Context{1};
    ServerLimits Limits;
    Limits.m_LinkBytesPerSecond = 200000;
    auto Respond = [](Exchange &Call, asio::yield_context Yield) {
      ResponseMessage Response;
      Response.m_Head.m_Status = 200;
      Call.sendResponse(std::move(Response), Yield);
    };
    auto Tested =
        Server::create(Context, {asio::ip::make_address("127.0.0.1"), 0},
                       Limits, Respond, [](unsigned Status) {
                         ResponseMessage Out;
                         Out.m_Head.m_Status = Status;
                         return Out;
                       });
    int Port = Tested->port();
    std::thread Thread([&Context] { Context.run(); });
    RequestMessage Request;
    Request.m_Method = "POST";
    Request.m_Target = "/";
    Request.m_Headers.set("Host", "h");
    Request.m_Body = std::string(BodyBytes, 'x');
    int Served = 0;
    int Refused = 0;
    bool IsToldToClose = false;
    auto Until = std::chrono::steady_clock::now() + seconds(3);
    while (std::chrono::steady_clock::now() < Until) {
      Reply Each = call(Port, Request);
      Served += Each.m_Status == 200 ? 1 : 0;
      Refused += Each.m_Status == 0 ? 1 : 0;
      IsToldToClose = IsToldToClose || Each.header("Connection") == "close";
    }
    bool IsIdle =
        eventually([&] { return call(Port, Request).m_Status == 200; });
    Context.stop();
    Thread.join();
    // The link bears 150,000 bytes a second, and a tenth of that at once.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Served), Served >= 40);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Served), Served <= 75);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Refused), Refused > Served);
    CPPUNIT_ASSERT(IsToldToClose);
    CPPUNIT_ASSERT(IsIdle);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IntakeLimiterTest);
