//===-- BodyBudgetTest.cpp - Memory held for slow callers -----------------===//
//
// Guards against a server that runs out of memory while many callers send
// their bodies slowly or read their responses slowly, and against fast callers
// that wait for slow ones.
//
//===----------------------------------------------------------------------===//
#include "LibCore/Error.h"
#include "LibHTTP/Server.h"
#include "TestClient.h"

#include <boost/asio.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <optional>
#include <thread>
#include <unistd.h>

using namespace yardrill;
using namespace yardrill::http;
using namespace yardrill::tests;
namespace asio = boost::asio;
using asio::ip::tcp;

class BodyBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BodyBudgetTest);
  CPPUNIT_TEST(testSlowBodiesStayWithinTheBudget);
  CPPUNIT_TEST(testBodyWithoutALengthStaysWithinTheBudget);
  CPPUNIT_TEST(testIdleConnectionsHoldNothing);
  CPPUNIT_TEST(testSlowReadersHoldNoResponse);
  CPPUNIT_TEST(testReservationIsReturned);
  CPPUNIT_TEST(testReservationOutlivesTheBudget);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t BodyBytes = 200000;
  static constexpr std::size_t MaxBodies = 20;
  static constexpr std::size_t ResponseBytes = 4000000;
  static constexpr int SlowCallers = 300;

  asio::io_context m_Context{1};
  std::unique_ptr<Server> m_Server;
  std::thread m_Thread;
  asio::io_context m_Clients{1};

  static ResponseMessage respond(unsigned Status) {
    ResponseMessage Out;
    Out.m_Head.m_Status = Status;
    Out.m_Body = "answer";
    return Out;
  }
  /// Returns the resident memory of this process in bytes.
  static std::size_t residentBytes() {
    std::ifstream In("/proc/self/statm");
    std::size_t Total = 0;
    std::size_t Resident = 0;
    In >> Total >> Resident;
    return Resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  }
  std::unique_ptr<tcp::socket> connect() {
    auto Out = std::make_unique<tcp::socket>(m_Clients);
    Out->connect({asio::ip::make_address("127.0.0.1"), m_Server->port()});
    return Out;
  }
  static void send(tcp::socket &To, const std::string &Bytes) {
    boost::system::error_code Ignored;
    asio::write(To, asio::buffer(Bytes), Ignored);
  }
  static unsigned statusOf(tcp::socket &From) {
    boost::system::error_code Failure;
    std::string Text(64, ' ');
    std::size_t Size = From.read_some(asio::buffer(Text), Failure);
    return Size < 12 ? 0 : static_cast<unsigned>(std::stoul(Text.substr(9, 3)));
  }
  static std::string head(const std::string &Framing) {
    return "POST /x HTTP/1.1\r\nHost: h\r\n" + Framing + "\r\n\r\n";
  }
  /// Returns the value on the server's thread.
  std::size_t usedBytes() {
    return asio::post(m_Context, std::packaged_task<std::size_t()>([this] {
                        return m_Server->bodyBudget().used();
                      }))
        .get();
  }

public:
  void setUp() override {
    ServerLimits Limits;
    Limits.m_AllBodyBytes = MaxBodies * BodyBytes;
    m_Server = Server::create(
        m_Context, {asio::ip::make_address("127.0.0.1"), 0}, Limits,
        [](Exchange &Call, asio::yield_context Yield) {
          if (Call.request().m_Target != "/large")
            return Call.sendResponse(respond(200), Yield);
          ResponseHead Head;
          Head.m_Status = 200;
          Call.startStream(Head, Yield);
          std::string Piece(16384, 'x');
          for (std::size_t I = 0; I < ResponseBytes / Piece.size(); ++I)
            Call.sendBodyData(Piece, Yield);
          Call.finishStream(Yield);
        },
        respond);
    m_Thread = std::thread([this] { m_Context.run(); });
  }
  void tearDown() override {
    m_Context.stop();
    m_Thread.join();
    m_Server.reset();
  }

  void testSlowBodiesStayWithinTheBudget() {
    std::size_t Before = residentBytes();
    std::vector<std::unique_ptr<tcp::socket>> Callers;
    for (int I = 0; I < SlowCallers; ++I) {
      Callers.push_back(connect());
      send(*Callers.back(),
           head("Content-Length: " + std::to_string(BodyBytes)) +
               std::string(BodyBytes / 2, 'x'));
    }
    CPPUNIT_ASSERT(
        eventually([this] { return usedBytes() == MaxBodies * BodyBytes; }));
    // Unbounded, half of the bodies would be 30 MB.
    CPPUNIT_ASSERT(residentBytes() - Before < 3 * MaxBodies * BodyBytes);
    // A fast caller without a body is not affected.
    http::RequestMessage Fast;
    Fast.m_Method = "GET";
    Fast.m_Target = "/fast";
    auto Begin = core::steadyNow();
    CPPUNIT_ASSERT_EQUAL(200U, call(m_Server->port(), Fast).m_Status);
    CPPUNIT_ASSERT(core::steadyNow() - Begin < std::chrono::seconds(1));
    std::size_t Served = 0;
    std::size_t Refused = 0;
    for (auto &Each : Callers) {
      send(*Each, std::string(BodyBytes / 2, 'x'));
      unsigned Status = statusOf(*Each);
      Served += Status == 200 ? 1 : 0;
      Refused += Status == 503 ? 1 : 0;
    }
    CPPUNIT_ASSERT(Served >= MaxBodies);
    CPPUNIT_ASSERT(Refused > 0);
    Callers.clear();
    CPPUNIT_ASSERT(eventually([this] { return usedBytes() == 0; }));
    CPPUNIT_ASSERT(m_Server->bodyBudget().peak() <= MaxBodies * BodyBytes);
  }

  void testBodyWithoutALengthStaysWithinTheBudget() {
    std::vector<std::unique_ptr<tcp::socket>> Callers;
    std::string Chunk = "4e20\r\n" + std::string(20000, 'x') + "\r\n";
    for (std::size_t I = 0; I < 2 * MaxBodies; ++I) {
      Callers.push_back(connect());
      send(*Callers.back(), head("Transfer-Encoding: chunked"));
      for (int J = 0; J < 9; ++J)
        send(*Callers.back(), Chunk);
    }
    for (auto &Each : Callers)
      send(*Each, "0\r\n\r\n");
    std::size_t Answered = 0;
    for (auto &Each : Callers) {
      unsigned Status = statusOf(*Each);
      Answered += Status == 200 || Status == 503 ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(2 * MaxBodies, Answered);
    CPPUNIT_ASSERT(m_Server->bodyBudget().peak() <= MaxBodies * BodyBytes);
    CPPUNIT_ASSERT(eventually([this] { return usedBytes() == 0; }));
  }

  /// Connections stay open between requests, with what they hold.
  void testIdleConnectionsHoldNothing() {
    std::vector<std::unique_ptr<tcp::socket>> Callers;
    for (std::size_t I = 0; I < 2 * MaxBodies; ++I) {
      Callers.push_back(connect());
      send(*Callers.back(),
           head("Content-Length: " + std::to_string(BodyBytes)) +
               std::string(BodyBytes, 'x'));
      CPPUNIT_ASSERT_EQUAL(200U, statusOf(*Callers.back()));
    }
    CPPUNIT_ASSERT(eventually([this] { return usedBytes() == 0; }));
  }

  /// Back-pressure: the server produces no more than a caller reads.
  void testSlowReadersHoldNoResponse() {
    std::size_t Before = residentBytes();
    std::vector<std::unique_ptr<tcp::socket>> Callers;
    for (int I = 0; I < SlowCallers; ++I) {
      Callers.push_back(connect());
      send(*Callers.back(), "GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    for (auto &Each : Callers)
      CPPUNIT_ASSERT_EQUAL(200U, statusOf(*Each));
    // Unbounded, the responses would be 1.2 GB. A coroutine needs its stack.
    CPPUNIT_ASSERT(residentBytes() - Before <
                   static_cast<std::size_t>(SlowCallers) * 150000);
    http::RequestMessage Fast;
    Fast.m_Method = "GET";
    Fast.m_Target = "/fast";
    CPPUNIT_ASSERT_EQUAL(200U, call(m_Server->port(), Fast).m_Status);
  }

  void testReservationIsReturned() {
    ByteBudget Budget(10);
    {
      ByteBudget::Reservation First(Budget);
      ByteBudget::Reservation Second(Budget);
      CPPUNIT_ASSERT(First.tryExtend(6));
      CPPUNIT_ASSERT(!Second.tryExtend(5));
      CPPUNIT_ASSERT(Second.tryExtend(4));
      CPPUNIT_ASSERT(!First.tryExtend(7));
      CPPUNIT_ASSERT(First.tryExtend(2));
      First.release();
      CPPUNIT_ASSERT_EQUAL(std::size_t(4), Budget.used());
      CPPUNIT_ASSERT(Second.tryExtend(10));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Budget.used());
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), Budget.peak());
  }

  void testReservationOutlivesTheBudget() {
    std::optional<ByteBudget> Budget(std::in_place, 10);
    ByteBudget::Reservation Held(*Budget);
    CPPUNIT_ASSERT(Held.tryExtend(5));
    // Another object at the same place.
    Budget.emplace(10);
    Held.release();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Budget->used());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyBudgetTest);
