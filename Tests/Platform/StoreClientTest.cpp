//===-- StoreClientTest.cpp - StoreClient against a simulated store -------===//
#include "StoreClient.h"

#include "LibCore/Error.h"
#include "Platform.h"
#include "Process.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::platform;
namespace asio = boost::asio;
using core::ErrorKind;

class StoreClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreClientTest);
  CPPUNIT_TEST(testSwapsReadsAndRanges);
  CPPUNIT_TEST(testReadsAllPages);
  CPPUNIT_TEST(testWatchReportsChangesAndRemovals);
  CPPUNIT_TEST(testCompactedHistoryIsAConflict);
  CPPUNIT_TEST(testLeaseEndRemovesItsKeys);
  CPPUNIT_TEST(testOutageTimeoutAndRateLimitErrors);
  CPPUNIT_TEST(testRateLimiterRejectsBeforeCalling);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context m_Context{1};
  std::unique_ptr<standins::Platform> m_Store;
  std::unique_ptr<StoreClient> m_Client;
  int m_Port = 0;

  StoreSettings settings() const {
    StoreSettings Out;
    Out.m_Addresses = {{asio::ip::make_address("127.0.0.1"),
                        static_cast<std::uint16_t>(m_Port)}};
    Out.m_CallTimeout = std::chrono::milliseconds(300);
    Out.m_LongPollTimeout = std::chrono::milliseconds(100);
    return Out;
  }
  /// Runs \p Test as a coroutine on the simulated store's event loop.
  void run(const std::function<void(asio::yield_context)> &Test) {
    std::exception_ptr Failure;
    asio::spawn(
        m_Context,
        [&](asio::yield_context Yield) {
          try {
            Test(Yield);
          } catch (...) {
            Failure = std::current_exception();
          }
          m_Context.stop();
        },
        asio::detached);
    m_Context.restart();
    m_Context.run();
    if (Failure)
      std::rethrow_exception(Failure);
  }
  Revision put(const std::string &Key, const std::string &Value,
               asio::yield_context Yield, std::int64_t Expected = 0,
               std::optional<LeaseId> Lease = std::nullopt) {
    CompareAndSwap Swap{Key, Revision(Expected), {{Key, Value, Lease}}};
    SwapResult Result =
        m_Client->compareAndSwap(Swap, CallClass::Control, Yield);
    CPPUNIT_ASSERT(Result.m_IsSwapped);
    return Result.m_Revision;
  }
  /// Sends settings to the simulated store's control path.
  void sendControl(const std::string &Json, asio::yield_context Yield) {
    auto Connection = http::ClientConnection::connect(
        m_Context, settings().m_Addresses.front(), std::chrono::seconds(1),
        Yield);
    http::RequestMessage Call;
    Call.m_Method = "POST";
    Call.m_Target = "/control";
    Call.m_Headers.set("Host", "stand-in");
    Call.m_Body = Json;
    Connection->sendRequest(Call, std::chrono::seconds(1), Yield);
    Connection->readResponse(std::chrono::seconds(1), 65536, Yield);
  }
  ErrorKind errorKindOf(const std::function<void()> &Call) {
    try {
      Call();
    } catch (const core::Error &Failure) {
      return Failure.kind();
    }
    CPPUNIT_FAIL("the call did not fail");
    return ErrorKind::Usage;
  }

public:
  void setUp() override {
    m_Port = tests::freePort();
    m_Store = std::make_unique<standins::Platform>(m_Context);
    m_Store->listen(static_cast<std::uint16_t>(m_Port));
    m_Store->startLeaseExpiry();
    m_Client = std::make_unique<StoreClient>(m_Context, settings());
  }

  void testSwapsReadsAndRanges() {
    run([&](asio::yield_context Yield) {
      std::string Key = "a b/&=%?";
      std::string Value("x\0y", 3);
      Revision First = put(Key, Value, Yield);
      auto Read = m_Client->read(Key, CallClass::Control, Yield);
      CPPUNIT_ASSERT(Read && Read->m_Value == Value);
      CPPUNIT_ASSERT(Read->m_ModRevision == First);
      CPPUNIT_ASSERT(!m_Client->read("none", CallClass::Control, Yield));
      CompareAndSwap SecondSwap{Key, Revision(0), {{Key, "z", std::nullopt}}};
      auto FailedSwap =
          m_Client->compareAndSwap(SecondSwap, CallClass::Control, Yield);
      CPPUNIT_ASSERT(!FailedSwap.m_IsSwapped && FailedSwap.m_Current);
      CPPUNIT_ASSERT(FailedSwap.m_Current->m_Value == Value);
      put(Key, "z", Yield, First.value());
    });
  }

  void testReadsAllPages() {
    run([&](asio::yield_context Yield) {
      sendControl(R"({"page_items":3})", Yield);
      for (int I = 0; I < 10; ++I)
        put("p/" + std::to_string(I), "v", Yield);
      put("q", "v", Yield);
      auto All = m_Client->readPrefix("p/", CallClass::Control, Yield);
      CPPUNIT_ASSERT_EQUAL(std::size_t(10), All.size());
      CPPUNIT_ASSERT_EQUAL(std::string("p/9"), All.back().m_Key);
    });
  }

  void testWatchReportsChangesAndRemovals() {
    run([&](asio::yield_context Yield) {
      Revision Before = put("w/1", "v", Yield);
      LeaseId Lease = m_Client->grantLease(std::chrono::seconds(5),
                                           CallClass::Control, Yield);
      put("w/2", "v", Yield, 0, Lease);
      m_Client->revoke(Lease, Yield);
      std::vector<Entry> Seen;
      m_Client->watch(
          "w/", Before,
          [&](const std::vector<Entry> &Changes) {
            Seen.insert(Seen.end(), Changes.begin(), Changes.end());
            return Seen.size() < 2;
          },
          Yield);
      CPPUNIT_ASSERT_EQUAL(std::string("w/2"), Seen.at(0).m_Key);
      CPPUNIT_ASSERT(!Seen.at(0).m_IsDeleted && Seen.at(1).m_IsDeleted);
      CPPUNIT_ASSERT(Seen.at(0).m_ModRevision < Seen.at(1).m_ModRevision);
    });
  }

  void testCompactedHistoryIsAConflict() {
    run([&](asio::yield_context Yield) {
      Revision Before = put("k", "v", Yield);
      put("l", "v", Yield);
      sendControl(R"({"forget_history":true})", Yield);
      auto Watch = [&] {
        m_Client->watch(
            "", Before, [](const std::vector<Entry> &) { return false; },
            Yield);
      };
      CPPUNIT_ASSERT(errorKindOf(Watch) == ErrorKind::Conflict);
    });
  }

  void testLeaseEndRemovesItsKeys() {
    run([&](asio::yield_context Yield) {
      LeaseId Lease = m_Client->grantLease(std::chrono::seconds(5),
                                           CallClass::Control, Yield);
      put("leased", "v", Yield, 0, Lease);
      CPPUNIT_ASSERT(m_Client->keepAlive(Lease, Yield));
      m_Client->revoke(Lease, Yield);
      CPPUNIT_ASSERT(!m_Client->keepAlive(Lease, Yield));
      CPPUNIT_ASSERT(!m_Client->read("leased", CallClass::Control, Yield));
      auto Put = [&] { put("leased", "v", Yield, 0, Lease); };
      CPPUNIT_ASSERT(errorKindOf(Put) == ErrorKind::Unavailable);
    });
  }

  void testOutageTimeoutAndRateLimitErrors() {
    run([&](asio::yield_context Yield) {
      auto Read = [&] { m_Client->read("k", CallClass::Control, Yield); };
      sendControl(R"({"silent":true})", Yield);
      CPPUNIT_ASSERT(errorKindOf(Read) == ErrorKind::OutcomeUnknown);
      sendControl(R"({"silent":false,"down":true})", Yield);
      CPPUNIT_ASSERT(errorKindOf(Read) == ErrorKind::OutcomeUnknown);
      sendControl(R"({"down":false,"calls_per_second":1})", Yield);
      // The simulated store still handles the call that got no response.
      asio::steady_timer Pause(m_Context, std::chrono::milliseconds(100));
      Pause.async_wait(Yield);
      Read();
      CPPUNIT_ASSERT(errorKindOf(Read) == ErrorKind::Unavailable);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), m_Client->counters().m_Calls);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), m_Client->counters().m_Failures);
    });
  }

  void testRateLimiterRejectsBeforeCalling() {
    StoreSettings Limited = settings();
    Limited.m_CallsPerSecond = 0.1;
    Limited.m_CallBurst = 1;
    m_Client = std::make_unique<StoreClient>(m_Context, Limited);
    run([&](asio::yield_context Yield) {
      auto Read = [&] { m_Client->read("k", CallClass::Control, Yield); };
      Read();
      CPPUNIT_ASSERT(errorKindOf(Read) == ErrorKind::BudgetSpent);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_Client->counters().m_Calls);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);
