//===-- ConcurrentStoreCallsTest.cpp - Revisions of overtaken responses ---===//
//
// Guards against an instance that takes the revision of its own write for the
// revision of an older response that arrives after it, and so never applies the
// changes in between, such as a configuration.
//
//===----------------------------------------------------------------------===//
#include "StoreClient.h"

#include "LibHTTP/Server.h"
#include "Process.h"
#include "Sleep.h"

#include <boost/asio/detached.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::platform;
namespace asio = boost::asio;

class ConcurrentStoreCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConcurrentStoreCallsTest);
  CPPUNIT_TEST(testWatch);
  CPPUNIT_TEST(testRead);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context m_Context{1};
  std::unique_ptr<http::Server> m_Server;
  std::unique_ptr<StoreClient> m_Client;
  bool m_IsWritten = false;
  Revision m_Seen; ///< Client's revision with the overtaken response.

  /// Responds to a write with revision 71, and to all other calls with revision
  /// 65 once the response to the write has been sent.
  void handle(http::Exchange &Call, asio::yield_context Yield) {
    bool IsWrite = Call.request().m_Target == "/kv-txn";
    while (!IsWrite && !m_IsWritten)
      tests::sleepFor(m_Context, std::chrono::milliseconds(5), Yield);
    http::ResponseMessage Response = http::emptyResponse(200);
    Response.m_Body = IsWrite ? R"({"rev":71,"storeRevision":71})"
                              : R"({"privateKey":"k","value":"","rev":65,)"
                                R"("storeRevision":65,"events":[]})";
    Call.sendResponse(std::move(Response), Yield);
    m_IsWritten = m_IsWritten || IsWrite;
  }
  /// Runs \p Read, and meanwhile a write whose response overtakes Read's.
  void runBesideWrite(const std::function<void(asio::yield_context)> &Read) {
    bool IsDone = false;
    asio::spawn(
        m_Context,
        [&](asio::yield_context Yield) {
          Read(Yield);
          IsDone = true;
          m_Context.stop();
        },
        asio::detached);
    asio::spawn(
        m_Context,
        [&](asio::yield_context Yield) {
          m_Client->compareAndSwap({"k", Revision(0), {{"k", "v", {}}}},
                                   CallClass::Control, Yield);
        },
        asio::detached);
    m_Context.run_for(std::chrono::seconds(10));
    CPPUNIT_ASSERT(IsDone && m_IsWritten);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(65), m_Seen.value());
  }

public:
  void setUp() override {
    asio::ip::tcp::endpoint Address(
        asio::ip::make_address("127.0.0.1"),
        static_cast<std::uint16_t>(tests::freePort()));
    m_Server = http::Server::create(
        m_Context, Address, http::ServerLimits(),
        [this](http::Exchange &Call, asio::yield_context Yield) {
          handle(Call, Yield);
        },
        http::emptyResponse);
    StoreSettings Settings;
    Settings.m_Addresses = {Address};
    Settings.m_CallTimeout = std::chrono::seconds(5);
    Settings.m_LongPollTimeout = std::chrono::seconds(5);
    m_Client = std::make_unique<StoreClient>(m_Context, Settings);
  }

  void testWatch() {
    runBesideWrite([this](asio::yield_context Yield) {
      m_Client->watch(
          "", Revision(65),
          [this](const std::vector<Entry> &) {
            m_Seen = m_Client->lastRevision();
            return false;
          },
          Yield);
    });
  }

  void testRead() {
    runBesideWrite([this](asio::yield_context Yield) {
      m_Client->read("k", CallClass::Control, Yield);
      m_Seen = m_Client->lastRevision();
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConcurrentStoreCallsTest);
