//===-- DialectTest.cpp - Headers and store entries of the platform -------===//
#include "PlatformDialect.h"
#include "StoreEntries.h"

#include "LibCore/Error.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::platform;

class DialectTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DialectTest);
  CPPUNIT_TEST(testParsesRequest);
  CPPUNIT_TEST(testHostIsReadWithoutItsPort);
  CPPUNIT_TEST(testInvalidNumbersCountAsMissing);
  CPPUNIT_TEST(testSetsReservedHeaders);
  CPPUNIT_TEST(testParsesResponse);
  CPPUNIT_TEST(testParsesBackpressure);
  CPPUNIT_TEST(testInvalidBackpressureIsIgnored);
  CPPUNIT_TEST(testParsesConfiguration);
  CPPUNIT_TEST(testParsesTargets);
  CPPUNIT_TEST(testParsesWarmUps);
  CPPUNIT_TEST(testParsesRegions);
  CPPUNIT_TEST(testParsesDrainedDataHalls);
  CPPUNIT_TEST(testMalformedEntriesThrowTypedErrors);
  CPPUNIT_TEST(testSharedPartsAreAllButTheLast);
  CPPUNIT_TEST_SUITE_END();

  PlatformDialect m_Dialect;

  static http::RequestMessage request() {
    http::RequestMessage Out;
    Out.m_Method = "POST";
    Out.m_Target = "/lohu930/2f?x=1";
    Out.m_Headers = {{"Host", "Ficu95.example:80"},
                     {"attempt-id", "9c41"},
                     {"Token-Counts", "1460, 80"},
                     {"Deadline-Ms", "12000"},
                     {"Api-Key", "secret"},
                     {"Tenant", "forged"},
                     {"expect-replica", "forged"},
                     {"Kv-From", "forged"},
                     {"Connection", "X-Hop"},
                     {"X-Hop", "1"},
                     {"Model", "m"}};
    return Out;
  }

public:
  void testSharedPartsAreAllButTheLast() {
    http::RequestMessage Request;
    CPPUNIT_ASSERT(m_Dialect.describe(Request).m_SharedParts.empty());
    Request.m_Headers.set("Prefix-Hash", "e4402b7d:250");
    CPPUNIT_ASSERT(m_Dialect.describe(Request).m_SharedParts.empty());
    Request.m_Headers.set("Prefix-Hash",
                          "5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
    std::vector<std::string> Shared{"5c1e07a2", "91bd3f06"};
    CPPUNIT_ASSERT(m_Dialect.describe(Request).m_SharedParts == Shared);
  }
  void testParsesRequest() {
    auto Description = m_Dialect.describe(request());
    CPPUNIT_ASSERT_EQUAL(std::string("9c41"), Description.m_Id);
    CPPUNIT_ASSERT_EQUAL(std::string("ficu95.example"), Description.m_Host);
    CPPUNIT_ASSERT_EQUAL(std::string("/lohu930/2f"), Description.m_Path);
    CPPUNIT_ASSERT_EQUAL(std::string("secret"), Description.m_Key.value());
    CPPUNIT_ASSERT(Description.m_Deadline == std::chrono::seconds(12));
    CPPUNIT_ASSERT(Description.m_HasTokenCounts);
    CPPUNIT_ASSERT_EQUAL(1460U, Description.m_PromptTokens);
    CPPUNIT_ASSERT_EQUAL(80U, Description.m_OutputTokens);
    CPPUNIT_ASSERT(!Description.m_LastEvent);
  }

  /// The colons of an IPv6 address are not those before a port.
  void testHostIsReadWithoutItsPort() {
    for (auto [Text, Host] : {std::pair<const char *, const char *>{"h", "h"},
                              {"H:80", "h"},
                              {"[::1]", "[::1]"},
                              {"[::1]:80", "[::1]"}}) {
      http::RequestMessage Message = request();
      Message.m_Headers.set("Host", Text);
      CPPUNIT_ASSERT_EQUAL(std::string(Host),
                           m_Dialect.describe(Message).m_Host);
    }
  }

  void testInvalidNumbersCountAsMissing() {
    http::RequestMessage Bad = request();
    for (const char *Text : {"", "-1", "1e3", "99999999999999999999", "1 2"}) {
      Bad.m_Headers.set("Deadline-Ms", Text);
      Bad.m_Headers.set("Token-Counts", std::string(Text) + ",4");
      auto Description = m_Dialect.describe(Bad);
      CPPUNIT_ASSERT(!Description.m_Deadline);
      CPPUNIT_ASSERT(!Description.m_HasTokenCounts);
    }
  }

  void testSetsReservedHeaders() {
    http::RequestMessage Out = request();
    gateway::ForwardDescription Forward;
    Forward.m_Target = core::TargetName("i-7f");
    Forward.m_TimeLeft = std::chrono::milliseconds(11900);
    m_Dialect.prepare(Out, Forward);
    CPPUNIT_ASSERT_EQUAL(std::string("i-7f"),
                         *Out.m_Headers.find("Expect-Replica"));
    CPPUNIT_ASSERT_EQUAL(std::string("11900"),
                         *Out.m_Headers.find("Deadline-Ms"));
    for (const char *Name :
         {"Tenant", "Api-Key", "Kv-From", "Connection", "X-Hop"})
      CPPUNIT_ASSERT_MESSAGE(Name, !Out.m_Headers.find(Name));
    CPPUNIT_ASSERT_EQUAL(std::string("9c41"),
                         *Out.m_Headers.find("Attempt-Id"));
    CPPUNIT_ASSERT(Out.m_Headers.find("Model") && Out.m_Headers.find("Host"));
    // The next attempt, at another target, resumes a stream after event 12.
    Forward.m_Target = core::TargetName("i-8f");
    Forward.m_Account = core::AccountName("hule930");
    Forward.m_LastEvent = "12";
    m_Dialect.prepare(Out, Forward);
    CPPUNIT_ASSERT_EQUAL(std::string("i-8f"),
                         *Out.m_Headers.find("Expect-Replica"));
    CPPUNIT_ASSERT_EQUAL(std::string("hule930"), *Out.m_Headers.find("Tenant"));
    CPPUNIT_ASSERT_EQUAL(std::string("12"),
                         *Out.m_Headers.find("Last-Event-Id"));
  }

  void testParsesResponse() {
    http::ResponseHead Head;
    Head.m_Status = 200;
    Head.m_Headers = {{"Attempt-Id", "9c41"},
                      {"Replica-Seal", "3e1b"},
                      {"Keep-Alive", "timeout=5, max=100"}};
    auto Response = m_Dialect.describe(Head);
    CPPUNIT_ASSERT_EQUAL(std::string("9c41"), Response.m_Id);
    CPPUNIT_ASSERT(Response.m_IsSigned && !Response.m_IsNotRun &&
                   !Response.m_IsEncoded);
    CPPUNIT_ASSERT(Response.m_KeepAlive == std::chrono::seconds(5));
    Head.m_Status = 421;
    CPPUNIT_ASSERT(m_Dialect.describe(Head).m_IsNotRun);
    Head.m_Status = 503;
    CPPUNIT_ASSERT(!m_Dialect.describe(Head).m_IsNotRun);
    Head.m_Headers.add("Not-Executed", "1");
    CPPUNIT_ASSERT(m_Dialect.describe(Head).m_IsNotRun);
  }

  void testParsesBackpressure() {
    http::ResponseHead Head;
    Head.m_Status = 200;
    CPPUNIT_ASSERT(m_Dialect.describe(Head).m_Backpressure.isEmpty());
    Head.m_Headers = {{"server-limit", " 1.4 "},
                      {"Server-Leaving", "1"},
                      {"Retry-After", "3"}};
    routing::TargetBackpressure Backpressure =
        m_Dialect.describe(Head).m_Backpressure;
    CPPUNIT_ASSERT_EQUAL(1.4, Backpressure.m_RequestsPerSecond.value());
    CPPUNIT_ASSERT(Backpressure.m_IsLeaving);
    // Retry-After asks for a back-off only in a 503 response.
    CPPUNIT_ASSERT(!Backpressure.m_Backoff);
    Head.m_Status = 503;
    Head.m_Headers = {{"Retry-After", "2.5"}, {"Server-Limit", "0"}};
    Backpressure = m_Dialect.describe(Head).m_Backpressure;
    CPPUNIT_ASSERT(Backpressure.m_Backoff == std::chrono::milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(0.0, Backpressure.m_RequestsPerSecond.value());
    CPPUNIT_ASSERT(!Backpressure.m_IsLimitUnspecified);
    // 421: another target has the address, so its headers don't apply.
    Head.m_Status = 421;
    CPPUNIT_ASSERT(m_Dialect.describe(Head).m_Backpressure.isEmpty());
    CPPUNIT_ASSERT(
        m_Dialect.describe(Head).m_Backpressure.m_IsLimitUnspecified);
    // A signed response to a request that ran lifts the limit if it has none.
    Head.m_Status = 200;
    Head.m_Headers = {{"Replica-Seal", "s"}};
    CPPUNIT_ASSERT(
        !m_Dialect.describe(Head).m_Backpressure.m_IsLimitUnspecified);
    Head.m_Headers = {};
    CPPUNIT_ASSERT(
        m_Dialect.describe(Head).m_Backpressure.m_IsLimitUnspecified);
    Head.m_Status = 503;
    Head.m_Headers = {{"Replica-Seal", "s"}, {"Not-Executed", "1"}};
    CPPUNIT_ASSERT(
        m_Dialect.describe(Head).m_Backpressure.m_IsLimitUnspecified);
  }

  void testInvalidBackpressureIsIgnored() {
    http::ResponseHead Head;
    Head.m_Status = 503;
    for (const char *Text : {"", "-1", "-0.0", "nan", "inf", "1e300", "many",
                             "1,4", "0x10", "1.4 a second"}) {
      Head.m_Headers = {{"Server-Limit", Text}, {"Retry-After", Text}};
      routing::TargetBackpressure Backpressure =
          m_Dialect.describe(Head).m_Backpressure;
      CPPUNIT_ASSERT(!Backpressure.m_RequestsPerSecond &&
                     Backpressure.m_IsLimitUnreadable);
      CPPUNIT_ASSERT(!Backpressure.m_Backoff);
    }
    Head.m_Headers = {{"Server-Limit", "2"}, {"server-limit", "3"}};
    CPPUNIT_ASSERT(m_Dialect.describe(Head).m_Backpressure.m_IsLimitUnreadable);
    // HTTP allows a date in Retry-After; it is ignored here.
    Head.m_Headers = {{"Retry-After", "Wed, 21 Oct 2015 07:28:00 GMT"},
                      {"Server-Leaving", "0"}};
    CPPUNIT_ASSERT(m_Dialect.describe(Head).m_Backpressure.isEmpty());
    Head.m_Headers = {{"Retry-After", std::string(300, '9')}};
    auto Backoff = m_Dialect.describe(Head).m_Backpressure.m_Backoff;
    CPPUNIT_ASSERT(!Backoff || *Backoff <= std::chrono::hours(1));
  }

  void testParsesConfiguration() {
    auto Table = parseConfiguration(R"({"version":7,"routes":[
      {"name":"r1","host":"Ficu95.example","pathPrefix":"/pufi791/",
       "routeKind":"streaming","timeoutMs":8000,"sloMs":600,"priority":1,
       "service":"huvo11a","maxAttempts":1,"public":false,"resumable":false,
       "gapAimMs":200},
      {"name":"r2","host":"ficu95.example","pathPrefix":"/lohu930/",
       "routeKind":"idempotent","timeoutMs":12000,"priority":0,
       "split":[{"service":"huvo11a","weight":90},
                {"service":"wuno96b","weight":10}],
       "maxAttempts":2,"public":true,"unknown":{}}],
      "services":[{"name":"huvo11a","maxConns":360,"engine":{"slots":6}},
                  {"name":"wuno96b","maxConns":100}],
      "limits":{"maxHeaderBytes":8192,"maxBodyBytes":4194304,
                "headerTimeoutMs":3000,"idleTimeoutMs":15000},
      "tenants":[{"name":"hule930","apiKeys":["k1","k2"],"priority":1,
                  "unit":"token_stream","plainTokens":200,"ratePerS":77261,
                  "burst":100}]})");
    CPPUNIT_ASSERT(Table->version() == core::ConfigurationVersion(7));
    const auto *First = Table->findRoute("ficu95.example", "/pufi791/x");
    CPPUNIT_ASSERT(First && First->m_Kind == routing::RouteKind::Stream);
    CPPUNIT_ASSERT(First->m_Tier == core::TierNumber(2));
    CPPUNIT_ASSERT(First->m_MaxEventGap == std::chrono::milliseconds(200));
    const auto *Second = Table->findRoute("ficu95.example", "/lohu930/");
    CPPUNIT_ASSERT(Second && Second->m_IsPublic);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Second->m_Pools.size());
    CPPUNIT_ASSERT_EQUAL(2U, Second->m_MaxAttempts);
    CPPUNIT_ASSERT(Table->findPool(core::PoolName("huvo11a"))->m_IsInference);
    CPPUNIT_ASSERT(!Table->findPool(core::PoolName("wuno96b"))->m_IsInference);
    const auto *Account = Table->findAccountByKey("k2");
    CPPUNIT_ASSERT(Account && Account->m_Tier == core::TierNumber(2));
    CPPUNIT_ASSERT_EQUAL(77261.0, Account->m_TokensPerSecond);
    CPPUNIT_ASSERT_EQUAL(200U, Account->m_DefaultTokens);
    CPPUNIT_ASSERT_EQUAL(std::size_t(8192), Table->limits().m_HeaderBytes);
  }

  void testParsesTargets() {
    Entry Change{"servers/i-7f",
                 R"({"service":"huvo11a","address":"10.128.0.9:8080",
                     "zone":"bandung","version":"v1","slots":6,"state":"ready",
                     "coldLeftMs":0,"seq":4})",
                 Revision(1)};
    auto Update = m_Dialect.read(Change);
    const auto &Target = std::get<gateway::TargetUpdate>(Update).m_Target;
    CPPUNIT_ASSERT(Target.m_Name == core::TargetName("i-7f"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), Target.m_Slots);
    CPPUNIT_ASSERT(!Target.m_IsLeaving);
    Change.m_Value.replace(Change.m_Value.find("ready"), 5, "draining");
    Update = m_Dialect.read(Change);
    CPPUNIT_ASSERT(
        std::get<gateway::TargetUpdate>(Update).m_Target.m_IsLeaving);
    Change.m_IsDeleted = true;
    Update = m_Dialect.read(Change);
    CPPUNIT_ASSERT(std::holds_alternative<gateway::TargetRemoval>(Update));
    Change.m_Key = "status/x";
    Update = m_Dialect.read(Change);
    CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(Update));
  }

  void testParsesWarmUps() {
    Entry Change{"servers/i-7f",
                 R"({"service":"huvo11a","address":"10.128.0.9:8080",
                     "zone":"bandung","version":"v1","slots":6,"state":"ready",
                     "coldLeftMs":1500,"seq":4})",
                 Revision(1)};
    CPPUNIT_ASSERT(
        std::get<gateway::TargetUpdate>(m_Dialect.read(Change)).m_WarmUpLeft ==
        std::chrono::milliseconds(1500));
    Change.m_Value.replace(Change.m_Value.find("1500"), 4, "-1e9");
    CPPUNIT_ASSERT(
        std::get<gateway::TargetUpdate>(m_Dialect.read(Change)).m_WarmUpLeft ==
        core::Duration::zero());
    auto Table = parseConfiguration(
        R"({"version":1,"routes":[],"services":[{"name":"a","coldPerS":27.0,
            "coldStartS":2.5},{"name":"b"}]})");
    const auto *Pool = Table->findPool(core::PoolName("a"));
    CPPUNIT_ASSERT_EQUAL(27.0, Pool->m_WarmUpPerSecond);
    CPPUNIT_ASSERT(Pool->m_WarmUpTime == std::chrono::milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(
        0.0, Table->findPool(core::PoolName("b"))->m_WarmUpPerSecond);
  }

  void testParsesRegions() {
    auto Parse = [](const std::string &Regions) {
      return parseConfiguration(
          R"({"version":1,"routes":[{"host":"h","pathPrefix":"/a/",
              "routeKind":"idempotent","timeoutMs":1000,"service":"a",
              "homeRegions":)" +
          Regions + R"(}],"services":[{"name":"a"}],"tenants":[{"name":"owner",
              "apiKeys":["key"],"homeRegions":)" +
          Regions + "}]}");
    };
    auto Table = Parse(R"(["fyn","jylland"])");
    std::set<core::RegionName> Both{core::RegionName("fyn"),
                                    core::RegionName("jylland")};
    CPPUNIT_ASSERT(Table->findRoute("h", "/a/x")->m_Regions == Both);
    CPPUNIT_ASSERT(Table->findAccountByKey("key")->m_Regions == Both);
    CPPUNIT_ASSERT(!Parse("[]")->findRoute("h", "/a/x")->m_Regions);
    CPPUNIT_ASSERT(!Parse("null")->findRoute("h", "/a/x")->m_Regions);
    // A region that is dropped would widen the restriction.
    for (const char *Malformed : {"[1]", "\"fyn\"", "{}"})
      try {
        Parse(Malformed);
        CPPUNIT_FAIL(Malformed);
      } catch (const core::Error &Failure) {
        CPPUNIT_ASSERT(Failure.kind() == core::ErrorKind::Protocol);
      }
  }

  void testParsesDrainedDataHalls() {
    for (const char *Value : {"{}", "", "[", "null"}) {
      Entry Change{"op/evacuate/fi-south-a", Value, Revision(1)};
      auto Update = std::get<gateway::DataHallUpdate>(m_Dialect.read(Change));
      CPPUNIT_ASSERT(Update.m_DataHall == core::DataHallName("fi-south-a"));
      CPPUNIT_ASSERT(Update.m_IsDrained);
      Change.m_IsDeleted = true;
      CPPUNIT_ASSERT(!std::get<gateway::DataHallUpdate>(m_Dialect.read(Change))
                          .m_IsDrained);
    }
    CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(
        m_Dialect.read({"op/evacuate/", "{}", Revision(1)})));
  }

  void testMalformedEntriesThrowTypedErrors() {
    for (const char *Value :
         {"", "[]", "{", R"({"service":1})", R"({"service":"a"})",
          R"({"service":"a","address":"nowhere"})"}) {
      Entry Change{"servers/i-7f", Value, Revision(1)};
      CPPUNIT_ASSERT_THROW(m_Dialect.read(Change), core::Error);
      Change.m_Key = "op/config";
      CPPUNIT_ASSERT_THROW(m_Dialect.read(Change), core::Error);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DialectTest);
