//===-- RestoredStoreTest.cpp - A store that comes back from a copy -------===//
//
// Guards against instances that keep their state when the store has gone back
// to an older copy, and miss what is published afterwards.
//
//===----------------------------------------------------------------------===//
#include "Platform.h"
#include "Process.h"
#include "StoreClient.h"

#include "LibGateway/StoreFollower.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::platform;
namespace asio = boost::asio;
using std::chrono::milliseconds;

class RestoredStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestoredStoreTest);
  CPPUNIT_TEST(testChangesAfterARestoreAreRead);
  CPPUNIT_TEST(testRevisionGivenOutAgainIsAnotherOne);
  CPPUNIT_TEST(testTwoRestoresInARow);
  CPPUNIT_TEST_SUITE_END();

  /// Bound of the time until a published change is in force.
  static constexpr milliseconds ChangeBound{2000};

  asio::io_context m_Context{1};
  std::unique_ptr<standins::Platform> m_Store;
  std::unique_ptr<StoreClient> m_Client;
  StoreMirror m_Mirror{100};
  std::unique_ptr<gateway::StoreFollower> m_Follower;
  asio::ip::tcp::endpoint m_Address;

  /// Runs \p Test as a coroutine beside the store and the follower.
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
    m_Context.run();
    if (Failure)
      std::rethrow_exception(Failure);
  }
  void control(const std::string &Json, asio::yield_context Yield) {
    auto Connection = http::ClientConnection::connect(
        m_Context, m_Address, std::chrono::seconds(1), Yield);
    http::RequestMessage Call;
    Call.m_Method = "POST";
    Call.m_Target = "/control";
    Call.m_Headers.set("Host", "stand-in");
    Call.m_Body = Json;
    Connection->sendRequest(Call, std::chrono::seconds(1), Yield);
    Connection->readResponse(std::chrono::seconds(1), 65536, Yield);
  }
  void put(const std::string &Value, asio::yield_context Yield) {
    control(R"({"put":{"key":"op/config","value":")" + Value + R"("}})", Yield);
  }
  bool hasValue(const std::string &Value) const {
    const Entry *Known = m_Mirror.find("op/config");
    return Known && Known->m_Value == Value;
  }
  void waitForValue(const std::string &Value, asio::yield_context Yield) {
    core::TimePoint End = core::steadyNow() + ChangeBound;
    while (!hasValue(Value) && core::steadyNow() < End) {
      asio::steady_timer Pause(m_Context, milliseconds(10));
      Pause.async_wait(Yield);
    }
    CPPUNIT_ASSERT_MESSAGE("mirror lacks " + Value, hasValue(Value));
  }

public:
  void setUp() override {
    int Port = tests::freePort();
    m_Address = {asio::ip::make_address("127.0.0.1"),
                 static_cast<std::uint16_t>(Port)};
    m_Store = std::make_unique<standins::Platform>(m_Context);
    m_Store->listen(static_cast<std::uint16_t>(Port));
    StoreSettings Settings;
    Settings.m_Addresses = {m_Address};
    Settings.m_CallTimeout = milliseconds(300);
    m_Client = std::make_unique<StoreClient>(m_Context, Settings);
    m_Follower = std::make_unique<gateway::StoreFollower>(m_Context, *m_Client,
                                                          m_Mirror);
    m_Follower->start([](core::Duration) { return false; });
  }

  void testChangesAfterARestoreAreRead() {
    run([this](asio::yield_context Yield) {
      put("one", Yield);
      control(R"({"keep_copy":true})", Yield);
      for (const char *Value : {"two", "three", "four"})
        put(Value, Yield);
      waitForValue("four", Yield);
      control(R"({"restore_copy":true})", Yield);
      put("five", Yield);
      waitForValue("five", Yield);
    });
  }

  void testRevisionGivenOutAgainIsAnotherOne() {
    run([this](asio::yield_context Yield) {
      put("one", Yield);
      control(R"({"keep_copy":true})", Yield);
      put("two", Yield);
      waitForValue("two", Yield);
      control(R"({"restore_copy":true})", Yield);
      // Has the revision of "two".
      put("another two", Yield);
      waitForValue("another two", Yield);
    });
  }

  void testTwoRestoresInARow() {
    run([this](asio::yield_context Yield) {
      put("one", Yield);
      control(R"({"keep_copy":true})", Yield);
      for (const char *Value : {"two", "three"})
        put(Value, Yield);
      waitForValue("three", Yield);
      control(R"({"restore_copy":true})", Yield);
      put("four", Yield);
      control(R"({"restore_copy":true})", Yield);
      put("five", Yield);
      waitForValue("five", Yield);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStoreTest);
