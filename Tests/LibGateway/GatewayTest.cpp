//===-- GatewayTest.cpp - Requests through one real gateway ---------------===//
//
// The gateway runs as it is on loopback; the store is a mock, and targets are
// scripts that write what a test wants, right or wrong.
//
//===----------------------------------------------------------------------===//
#include "LibGateway/Gateway.h"

#include "EmptyStore.h"
#include "LibCore/Error.h"
#include "PlatformDialect.h"
#include "Process.h"
#include "TestClient.h"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <mutex>
#include <set>
#include <thread>

using namespace yardrill;
using namespace yardrill::tests;
namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

/// Gives a fixed content, then what a test changes.
class MockStore final : public EmptyStore {
public:
  explicit MockStore(asio::io_context &Context) : m_Context(Context) {}

  std::vector<platform::Entry> m_Content;
  std::chrono::milliseconds m_ReadDelay{0};

  std::vector<platform::Entry> readPrefix(const std::string &,
                                          platform::CallClass,
                                          asio::yield_context Yield) override {
    asio::steady_timer Timer(m_Context, m_ReadDelay);
    boost::system::error_code Ignored;
    Timer.async_wait(Yield[Ignored]);
    if (m_Content.empty())
      throw core::Error(core::ErrorKind::Unavailable, "down");
    return m_Content;
  }
  void watch(const std::string &, platform::Revision,
             const std::function<bool(const std::vector<platform::Entry> &)>
                 &Notify,
             asio::yield_context Yield) override {
    asio::steady_timer Pause(m_Context);
    while (true) {
      Pause.expires_after(std::chrono::milliseconds(5));
      boost::system::error_code Ignored;
      Pause.async_wait(Yield[Ignored]);
      std::lock_guard<std::mutex> Lock(m_Mutex);
      if (m_Changes.empty())
        continue;
      m_Last = m_Changes.back().m_Modified;
      Notify(std::exchange(m_Changes, {}));
    }
  }
  platform::Revision lastRevision() const override { return m_Last; }
  /// From any thread.
  void change(const std::string &Key, const std::string &Value) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Changes.push_back({Key, Value, platform::Revision(m_NextRevision++)});
  }

private:
  asio::io_context &m_Context;
  platform::Revision m_Last{9};
  std::int64_t m_NextRevision = 10;
  std::mutex m_Mutex;
  std::vector<platform::Entry> m_Changes;
};

using Request = beast::http::request<beast::http::string_body>;

/// Answers each request with the bytes that its script makes. A script that
/// returns an empty text hangs up; one that returns "wait" says nothing until
/// the other side closes.
class ScriptedTarget {
public:
  using Script = std::function<std::string(const Request &)>;

  ScriptedTarget(asio::io_context &Context, Script Make)
      : m_Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        m_Make(std::move(Make)) {
    asio::spawn(
        Context, [this](asio::yield_context Yield) { accept(Yield); },
        asio::detached);
  }

  int port() const { return m_Acceptor.local_endpoint().port(); }
  std::vector<Request> requests() const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Requests;
  }
  std::atomic<int> m_ClosedWhileWaiting{0};
  std::atomic<int> m_Accepted{0}; ///< Connections.

private:
  void accept(asio::yield_context Yield) {
    while (true) {
      tcp::socket Socket(m_Acceptor.get_executor());
      m_Acceptor.async_accept(Socket, Yield);
      ++m_Accepted;
      auto Kept = std::make_shared<tcp::socket>(std::move(Socket));
      asio::spawn(
          m_Acceptor.get_executor(),
          [this, Kept](asio::yield_context Inner) { serve(*Kept, Inner); },
          asio::detached);
    }
  }
  void serve(tcp::socket &Socket, asio::yield_context Yield) {
    beast::flat_buffer Buffer;
    boost::system::error_code Failure;
    while (!Failure) {
      Request Read;
      beast::http::async_read(Socket, Buffer, Read, Yield[Failure]);
      if (Failure)
        return;
      {
        std::lock_guard<std::mutex> Lock(m_Mutex);
        m_Requests.push_back(Read);
      }
      std::string Bytes = m_Make(Read);
      if (Bytes.empty()) {
        Socket.set_option(asio::socket_base::linger(true, 0));
        return Socket.close();
      }
      if (Bytes == "wait") {
        char Byte = 0;
        Socket.async_read_some(asio::buffer(&Byte, 1), Yield[Failure]);
        ++m_ClosedWhileWaiting;
        return;
      }
      bool MustCut = Bytes.back() == '!';
      if (MustCut)
        Bytes.pop_back();
      asio::async_write(Socket, asio::buffer(Bytes), Yield[Failure]);
      if (MustCut)
        return;
    }
  }

  tcp::acceptor m_Acceptor;
  Script m_Make;
  mutable std::mutex m_Mutex;
  std::vector<Request> m_Requests;
};

std::string idOf(const Request &Read) {
  return std::string(Read["Attempt-Id"]);
}

std::string whole(const Request &Read, const std::string &Body,
                  const std::string &Status = "200 OK",
                  const std::string &More = "Replica-Seal: s\r\n") {
  return "HTTP/1.1 " + Status + "\r\nAttempt-Id: " + idOf(Read) + "\r\n" +
         More + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

std::string chunk(const std::string &Text) {
  char Size[16];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Text.size());
  return Size + Text + "\r\n";
}

std::string streamHead(const Request &Read) {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + idOf(Read) +
         "\r\nReplica-Seal: s\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string notExecuted(const Request &Read) {
  return whole(Read, "", "503 Service Unavailable", "Not-Executed: 1\r\n");
}

const char Configuration[] = R"({"version":7,"routes":[
  {"host":"h","pathPrefix":"/once/","routeKind":"non_idempotent",
   "timeoutMs":3000,"sloMs":300,"service":"app","maxAttempts":1},
  {"host":"h","pathPrefix":"/again/","routeKind":"idempotent",
   "timeoutMs":3000,"sloMs":300,"service":"app","maxAttempts":2},
  {"host":"h","pathPrefix":"/open/","routeKind":"idempotent","public":true,
   "timeoutMs":3000,"sloMs":300,"service":"app","maxAttempts":2},
  {"host":"h","pathPrefix":"/stream/","routeKind":"streaming",
   "timeoutMs":3000,"sloMs":300,"service":"app","maxAttempts":2,
   "resumable":true},
  {"host":"h","pathPrefix":"/fragile/","routeKind":"streaming",
   "timeoutMs":3000,"sloMs":300,"service":"app","maxAttempts":2}],
  "services":[{"name":"app"}],
  "tenants":[{"name":"owner","apiKeys":["key"]},
             {"name":"poor","apiKeys":["poor"],"ratePerS":10,"burst":10,
              "plainTokens":50}]})";

} // namespace

class GatewayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayTest);
  CPPUNIT_TEST(testPassesRequestAndAnswerOn);
  CPPUNIT_TEST(testIsNotReadyWithoutAConfiguration);
  CPPUNIT_TEST(testRequestBeforeTheConfigurationWaitsForIt);
  CPPUNIT_TEST(testRefusesWhatIsNotAllowed);
  CPPUNIT_TEST(testRunsOnceWhatMayRunOnce);
  CPPUNIT_TEST(testGoesOnAfterATargetsOwnRefusal);
  CPPUNIT_TEST(testTargetThatWasReplacedIsLeftAlone);
  CPPUNIT_TEST(testRestartedTargetIsCalledOnNewConnections);
  CPPUNIT_TEST(testUnreadableAnnouncementsNameNoTarget);
  CPPUNIT_TEST(testRepeatsWhatMayBeRepeated);
  CPPUNIT_TEST(testSkipsASurplusAnswer);
  CPPUNIT_TEST(testUnsignedSuccessIsNoAnswer);
  CPPUNIT_TEST(testResumesAStreamElsewhere);
  CPPUNIT_TEST(testBrokenStreamNeverLooksWhole);
  CPPUNIT_TEST(testAnswerThatEndsWithItsConnection);
  CPPUNIT_TEST(testCallerGoneEndsTheWork);
  CPPUNIT_TEST(testStopEndsWhatIsUnderWay);
  CPPUNIT_TEST(testEndsWithRequestsUnderWay);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<asio::io_context> m_OwnContext =
      std::make_unique<asio::io_context>(1);
  asio::io_context &m_Context = *m_OwnContext;
  MockStore m_Store{m_Context};
  platform::PlatformDialect m_Dialect;
  std::vector<std::unique_ptr<ScriptedTarget>> m_Targets;
  std::unique_ptr<gateway::Gateway> m_Gateway;
  std::thread m_Thread;
  int m_CallerPort = 0;
  int m_ReadinessPort = 0;

  void addTarget(ScriptedTarget::Script Make) {
    m_Targets.push_back(
        std::make_unique<ScriptedTarget>(m_Context, std::move(Make)));
    std::size_t Number = m_Targets.size();
    m_Store.m_Content.push_back(
        {keyOf(Number), announcement(Number, 1), platform::Revision(2)});
  }
  static std::string keyOf(std::size_t Number) {
    return "servers/i-" + std::to_string(Number);
  }
  std::string announcement(std::size_t Number, std::int64_t Birth) const {
    return R"({"service":"app","address":"127.0.0.1:)" +
           std::to_string(m_Targets.at(Number - 1)->port()) +
           R"(","zone":"hall","version":"v1","slots":4,"state":"ready",)"
           R"("coldLeftMs":0,"seq":1,"born":)" +
           std::to_string(Birth) + "}";
  }
  static config::Endpoint local(int Port) {
    return {"127.0.0.1", static_cast<std::uint16_t>(Port)};
  }
  void start(bool IsConfigured = true, bool MustBeReady = true) {
    if (IsConfigured)
      m_Store.m_Content.push_back(
          {"op/config", Configuration, platform::Revision(1)});
    m_CallerPort = freePort();
    m_ReadinessPort = freePort();
    gateway::GatewaySettings Settings;
    Settings.m_Name = core::InstanceName("test");
    Settings.m_DataHall = core::DataHallName("hall");
    Settings.m_CallerAddress = local(m_CallerPort);
    Settings.m_ReadinessAddress = local(m_ReadinessPort);
    Settings.m_PeerAddress = local(freePort());
    Settings.m_IsFirstStart = false;
    Settings.m_Retries = {0.2, std::chrono::seconds(10), 20};
    m_Gateway = gateway::Gateway::Builder()
                    .settings(Settings)
                    .dialect(m_Dialect)
                    .store(m_Store)
                    .build(m_Context);
    m_Gateway->start();
    m_Thread = std::thread([this] { m_Context.run(); });
    if (IsConfigured && MustBeReady)
      CPPUNIT_ASSERT(eventually([this] { return readiness() == 200; }));
  }
  unsigned readiness() const {
    http::RequestMessage Ask;
    Ask.m_Method = "GET";
    Ask.m_Target = "/readyz";
    return call(m_ReadinessPort, Ask).m_Status;
  }
  static http::RequestMessage request(const std::string &Target,
                                      const std::string &Key = "key") {
    static int Next = 1;
    http::RequestMessage Out;
    Out.m_Method = "POST";
    Out.m_Target = Target;
    Out.m_Headers = {{"Host", "h"},
                     {"Attempt-Id", "a" + std::to_string(Next++)},
                     {"Deadline-Ms", "2000"},
                     {"Tenant", "forged"}};
    if (!Key.empty())
      Out.m_Headers.set("Api-Key", Key);
    Out.m_Body = "body";
    return Out;
  }
  Reply send(const http::RequestMessage &What) {
    return call(m_CallerPort, What);
  }
  std::size_t allRequests() const {
    std::size_t Sum = 0;
    for (const auto &Each : m_Targets)
      Sum += Each->requests().size();
    return Sum;
  }

public:
  /// As at the end of the grace: first the gateway ends, then the loop with
  /// the coroutines of its requests.
  void tearDown() override {
    if (!m_OwnContext)
      return;
    m_Context.stop();
    if (m_Thread.joinable())
      m_Thread.join();
    m_Gateway.reset();
    // Whoever still looks at the gateway's memory finds this there.
    std::vector<std::string> Overwritten(
        64, std::string(sizeof(gateway::Gateway) - 1, '\xff'));
    m_Targets.clear();
    m_OwnContext.reset();
  }

  void testPassesRequestAndAnswerOn() {
    addTarget([](const Request &Read) { return whole(Read, "answer"); });
    start();
    http::RequestMessage Asked = request("/once/x?y=%2f");
    Reply Got = send(Asked);
    CPPUNIT_ASSERT_EQUAL(200U, Got.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("answer"), Got.m_Body);
    CPPUNIT_ASSERT_EQUAL(std::string("s"), Got.header("Replica-Seal"));
    Request Seen = m_Targets[0]->requests().at(0);
    CPPUNIT_ASSERT(Seen.target() == "/once/x?y=%2f");
    CPPUNIT_ASSERT_EQUAL(std::string("body"), Seen.body());
    CPPUNIT_ASSERT(Seen["Expect-Replica"] == "i-1");
    CPPUNIT_ASSERT(Seen["Tenant"] == "owner");
    CPPUNIT_ASSERT(Seen["Api-Key"].empty());
    CPPUNIT_ASSERT(Seen["Attempt-Id"] == *Asked.m_Headers.find("Attempt-Id"));
    int Left = std::stoi(std::string(Seen["Deadline-Ms"]));
    CPPUNIT_ASSERT(Left > 1500 && Left <= 2000);
    // A route without keys names no client account.
    CPPUNIT_ASSERT_EQUAL(200U, send(request("/open/x", "")).m_Status);
    CPPUNIT_ASSERT(m_Targets[0]->requests().at(1)["Tenant"].empty());
  }

  void testIsNotReadyWithoutAConfiguration() {
    start(false);
    CPPUNIT_ASSERT_EQUAL(503U, readiness());
    Reply Got = send(request("/once/x"));
    CPPUNIT_ASSERT_EQUAL(503U, Got.m_Status);
    CPPUNIT_ASSERT(!Got.header("Retry-After").empty());
  }

  void testRequestBeforeTheConfigurationWaitsForIt() {
    addTarget([](const Request &Read) { return whole(Read, "answer"); });
    m_Store.m_ReadDelay = std::chrono::milliseconds(100);
    start(true, false);
    CPPUNIT_ASSERT_EQUAL(503U, readiness());
    CPPUNIT_ASSERT_EQUAL(200U, send(request("/once/x")).m_Status);
  }

  void testRefusesWhatIsNotAllowed() {
    addTarget([](const Request &Read) { return whole(Read, ""); });
    start();
    CPPUNIT_ASSERT_EQUAL(404U, send(request("/none/x")).m_Status);
    CPPUNIT_ASSERT_EQUAL(401U, send(request("/once/x", "wrong")).m_Status);
    CPPUNIT_ASSERT_EQUAL(401U, send(request("/once/x", "")).m_Status);
    http::RequestMessage Nameless = request("/once/x");
    Nameless.m_Headers.remove("Attempt-Id");
    CPPUNIT_ASSERT_EQUAL(400U, send(Nameless).m_Status);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), allRequests());
    // 50 tokens of a bucket that has just begun to fill, then debt.
    eventually(
        [&] { return send(request("/once/x", "poor")).m_Status == 200; });
    Reply Over = send(request("/once/x", "poor"));
    CPPUNIT_ASSERT_EQUAL(429U, Over.m_Status);
    CPPUNIT_ASSERT(std::stod(Over.header("Retry-After")) > 1);
  }

  void testRunsOnceWhatMayRunOnce() {
    addTarget([](const Request &) { return ""; });
    addTarget([](const Request &) { return ""; });
    start();
    for (int I = 0; I < 4; ++I)
      CPPUNIT_ASSERT_EQUAL(502U, send(request("/once/x")).m_Status);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), allRequests());
  }

  void testGoesOnAfterATargetsOwnRefusal() {
    // Whichever target a request comes to first refuses it.
    std::set<std::string> Seen;
    auto Make = [&Seen](const Request &Read) {
      bool IsFirst = Seen.insert(idOf(Read)).second;
      return IsFirst ? notExecuted(Read) : whole(Read, "answer");
    };
    addTarget(Make);
    addTarget(Make);
    start();
    for (int I = 0; I < 6; ++I)
      CPPUNIT_ASSERT_EQUAL(200U, send(request("/once/x")).m_Status);
    CPPUNIT_ASSERT_EQUAL(std::size_t(12), allRequests());
  }

  void testTargetThatWasReplacedIsLeftAlone() {
    addTarget([](const Request &Read) {
      return whole(Read, "", "421 Misdirected Request", "");
    });
    addTarget([](const Request &Read) { return whole(Read, "answer"); });
    start();
    for (int I = 0; I < 6; ++I) {
      CPPUNIT_ASSERT_EQUAL(200U, send(request("/once/x")).m_Status);
      // Longer than a target rests after a failure.
      std::this_thread::sleep_for(std::chrono::milliseconds(150));
    }
    CPPUNIT_ASSERT(m_Targets[0]->requests().size() <= 1);
  }

  /// A call that may run once was lost with a connection that the target's
  /// earlier run had left behind.
  void testRestartedTargetIsCalledOnNewConnections() {
    addTarget([](const Request &Read) { return whole(Read, "answer"); });
    start();
    CPPUNIT_ASSERT_EQUAL(200U, send(request("/once/x")).m_Status);
    CPPUNIT_ASSERT_EQUAL(200U, send(request("/once/x")).m_Status);
    CPPUNIT_ASSERT_EQUAL(1, m_Targets[0]->m_Accepted.load());
    m_Store.change(keyOf(1), announcement(1, 2));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(200U, send(request("/once/x")).m_Status);
    CPPUNIT_ASSERT_EQUAL(2, m_Targets[0]->m_Accepted.load());
    // The same run says more of itself.
    m_Store.change(keyOf(1), announcement(1, 2) + " ");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(200U, send(request("/once/x")).m_Status);
    CPPUNIT_ASSERT_EQUAL(2, m_Targets[0]->m_Accepted.load());
  }

  /// An entry is overwritten by somebody who is no target, and others are added
  /// beside it: the sound target serves on, alone.
  void testUnreadableAnnouncementsNameNoTarget() {
    addTarget([](const Request &Read) { return whole(Read, "one"); });
    addTarget([](const Request &Read) { return whole(Read, "two"); });
    start();
    m_Store.change(keyOf(1), R"({"service":"app"})");
    m_Store.change("servers/other", "\xff\xfe");
    m_Store.change("servers/", announcement(1, 1));
    // Longer than a missing announcement is waited for.
    std::this_thread::sleep_for(std::chrono::milliseconds(1700));
    std::size_t Before = m_Targets[0]->requests().size();
    for (int I = 0; I < 6; ++I)
      CPPUNIT_ASSERT_EQUAL(std::string("two"),
                           send(request("/once/x")).m_Body);
    CPPUNIT_ASSERT_EQUAL(Before, m_Targets[0]->requests().size());
  }

  void testRepeatsWhatMayBeRepeated() {
    addTarget([](const Request &Read) {
      return whole(Read, "broken", "500 Internal Server Error");
    });
    addTarget([](const Request &) { return ""; });
    start();
    Reply Got = send(request("/again/x"));
    CPPUNIT_ASSERT(Got.m_Status == 500 || Got.m_Status == 502);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), allRequests());
    if (Got.m_Status == 500)
      CPPUNIT_ASSERT_EQUAL(std::string("broken"), Got.m_Body);
  }

  void testSkipsASurplusAnswer() {
    addTarget([](const Request &Read) {
      return "HTTP/1.1 200 OK\r\nAttempt-Id: old\r\nReplica-Seal: s\r\n"
             "Content-Length: 3\r\n\r\nold" +
             whole(Read, "own");
    });
    start();
    Reply Got = send(request("/once/x"));
    CPPUNIT_ASSERT_EQUAL(200U, Got.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("own"), Got.m_Body);
  }

  void testUnsignedSuccessIsNoAnswer() {
    addTarget(
        [](const Request &Read) { return whole(Read, "x", "200 OK", ""); });
    start();
    CPPUNIT_ASSERT_EQUAL(502U, send(request("/once/x")).m_Status);
  }

  void testResumesAStreamElsewhere() {
    auto Make = [](const Request &Read) {
      if (!Read["Last-Event-Id"].empty())
        return streamHead(Read) + chunk("id: 2\ndata: b\n\n") +
               chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n";
      // Stops partway through the second event.
      return streamHead(Read) + chunk("id: 1\ndata: a\n\nid: 2\nda") + "!";
    };
    addTarget(Make);
    addTarget(Make);
    start();
    Reply Got = send(request("/stream/x"));
    CPPUNIT_ASSERT(Got.isWhole());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
                                     "id: 3\ndata: c\n\n"),
                         Got.m_Body);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), allRequests());
  }

  void testBrokenStreamNeverLooksWhole() {
    addTarget([](const Request &Read) {
      return streamHead(Read) + chunk("id: 1\ndata: a\n\n") + "!";
    });
    start();
    Reply Got = send(request("/fragile/x"));
    CPPUNIT_ASSERT(!Got.isWhole());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), allRequests());
  }

  void testAnswerThatEndsWithItsConnection() {
    addTarget([](const Request &Read) {
      return "HTTP/1.1 200 OK\r\nAttempt-Id: " + idOf(Read) +
             "\r\nReplica-Seal: s\r\n\r\nuntil the end!";
    });
    start();
    Reply Got = send(request("/once/x"));
    CPPUNIT_ASSERT(Got.isWhole());
    CPPUNIT_ASSERT_EQUAL(std::string("until the end"), Got.m_Body);
  }

  void testCallerGoneEndsTheWork() {
    addTarget([](const Request &) { return "wait"; });
    start();
    {
      asio::io_context Own;
      tcp::socket Caller(Own);
      Caller.connect(local(m_CallerPort).toTcp());
      std::string Text = "GET /again/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: z\r\n"
                         "Api-Key: key\r\nDeadline-Ms: 2000\r\n\r\n";
      asio::write(Caller, asio::buffer(Text));
      CPPUNIT_ASSERT(eventually([this] { return allRequests() == 1; }));
    }
    auto LeftAt = core::steadyNow();
    CPPUNIT_ASSERT(
        eventually([this] { return m_Targets[0]->m_ClosedWhileWaiting == 1; }));
    CPPUNIT_ASSERT(core::steadyNow() - LeftAt < std::chrono::milliseconds(500));
  }

  void testStopEndsWhatIsUnderWay() {
    std::atomic<bool> MayAnswer{false};
    addTarget([&](const Request &Read) {
      return MayAnswer ? whole(Read, "late") : notExecuted(Read);
    });
    start();
    std::atomic<bool> IsFinished{false};
    asio::post(m_Context, [&] { m_Gateway->stop([&] { IsFinished = true; }); });
    CPPUNIT_ASSERT(eventually([this] { return readiness() == 503; }));
    MayAnswer = true;
    // Still served, and told to go elsewhere next time.
    Reply Got = send(request("/again/x"));
    CPPUNIT_ASSERT_EQUAL(200U, Got.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("close"), Got.header("Connection"));
    CPPUNIT_ASSERT(eventually([&] { return IsFinished.load(); }));
  }

  void testEndsWithRequestsUnderWay() {
    addTarget([](const Request &) { return "wait"; });
    start();
    asio::io_context Own;
    std::vector<tcp::socket> Callers;
    for (int I = 0; I < 64; ++I) {
      Callers.emplace_back(Own);
      Callers.back().connect(local(m_CallerPort).toTcp());
      std::string Text = "GET /again/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: z" +
                         std::to_string(I) +
                         "\r\nApi-Key: key\r\nDeadline-Ms: 2000\r\n\r\n";
      asio::write(Callers.back(), asio::buffer(Text));
    }
    CPPUNIT_ASSERT(eventually([this] { return allRequests() == 4; }));
    // The others wait for a place.
    tearDown();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);
