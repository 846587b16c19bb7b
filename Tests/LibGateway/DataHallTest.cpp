//===-- DataHallTest.cpp - Drained data halls and allowed regions ---------===//
//
// Guards against requests to targets of a drained data hall, or of a region in
// which the route or the account doesn't allow them, and against a data hall
// that gets no requests after it was restored.
//
//===----------------------------------------------------------------------===//
#include "GatewayFixture.h"

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

/// Runs one target in each of two data halls, each in its own region.
class DataHallTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(DataHallTest);
  CPPUNIT_TEST(testDrainedDataHallGetsNothing);
  CPPUNIT_TEST(testRequestsInProgressAreCompleted);
  CPPUNIT_TEST(testAllDataHallsDrained);
  CPPUNIT_TEST(testDrainBeforeTheStart);
  CPPUNIT_TEST(testUnknownDataHallChangesNothing);
  CPPUNIT_TEST(testQuickChangesEndInTheLastState);
  CPPUNIT_TEST(testRouteRegionsBind);
  CPPUNIT_TEST(testAccountAndRouteRegionsBothBind);
  CPPUNIT_TEST(testUnknownRegionIsRefused);
  CPPUNIT_TEST(testRegionHoldsForARetry);
  CPPUNIT_TEST(testNewRegionsApplyToNewRequests);
  CPPUNIT_TEST_SUITE_END();

  std::atomic<bool> m_IsFailing{false};

  void addTargetIn(const std::string &Hall) {
    addTarget([this](const Request &Read) {
      if (m_IsFailing)
        return completeResponse(Read, "broken", "500 Internal Server Error");
      return completeResponse(Read, "answer");
    });
    std::string &Value = m_Store.m_Content.back().m_Value;
    static const std::string Field = R"("zone":"hall")";
    Value.replace(Value.find(Field), Field.size(), R"("zone":")" + Hall + "\"");
  }
  /// \param Regions JSON fields of the route and of the account.
  static std::string configuration(int Version, const std::string &OfRoute,
                                   const std::string &OfAccount) {
    return R"({"version":)" + std::to_string(Version) + R"(,"routes":[
      {"host":"h","pathPrefix":"/again/","routeKind":"idempotent",
       "timeoutMs":3000,"sloMs":300,"service":"app","maxAttempts":2)" +
           OfRoute + R"(}],"services":[{"name":"app"}],
      "tenants":[{"name":"owner","apiKeys":["key"])" +
           OfAccount + "}]}";
  }
  void startIn(const std::string &OfRoute = "",
               const std::string &OfAccount = "") {
    addTargetIn("north");
    addTargetIn("south");
    m_Regions = {
        {core::DataHallName("north"), core::RegionName("up")},
        {core::DataHallName("south"), core::RegionName("down")},
    };
    m_Store.m_Content.push_back({"op/config",
                                 configuration(7, OfRoute, OfAccount),
                                 platform::Revision(1)});
    start(false);
    CPPUNIT_ASSERT(eventually([this] { return readiness() == 200; }));
  }
  std::size_t requestsAt(std::size_t Number) const {
    return m_Targets[Number - 1]->requests().size();
  }
  unsigned sendOne() { return send(request("/again/x")).m_Status; }
  /// Waits until the gateway has applied changes of the store.
  void settle() { std::this_thread::sleep_for(milliseconds(100)); }
  /// Sends requests one after the other. \returns how many were served.
  int sendMany() {
    int Served = 0;
    for (int I = 0; I < 20; ++I)
      Served += sendOne() == 200 ? 1 : 0;
    return Served;
  }
  /// Sends several requests at a time, so that each target is needed.
  int sendTogether() {
    std::vector<std::thread> Callers;
    std::atomic<int> Served{0};
    for (int I = 0; I < 6; ++I)
      Callers.emplace_back([this, &Served] { Served += sendMany(); });
    for (std::thread &Each : Callers)
      Each.join();
    return Served;
  }

public:
  void testDrainedDataHallGetsNothing() {
    startIn();
    m_Store.change("op/evacuate/north", "{}");
    settle();
    std::size_t Before = requestsAt(1);
    CPPUNIT_ASSERT_EQUAL(120, sendTogether());
    CPPUNIT_ASSERT_EQUAL(Before, requestsAt(1));
    CPPUNIT_ASSERT(requestsAt(2) >= 120);
    m_Store.remove("op/evacuate/north");
    settle();
    sendTogether();
    CPPUNIT_ASSERT(requestsAt(1) > Before);
  }

  void testRequestsInProgressAreCompleted() {
    startIn();
    for (const auto &Each : m_Targets)
      Each->m_DelayMs = 300;
    std::vector<std::thread> Callers;
    std::atomic<int> Served{0};
    for (int I = 0; I < 2; ++I)
      Callers.emplace_back([&] { Served += sendOne() == 200 ? 1 : 0; });
    CPPUNIT_ASSERT(eventually([this] { return requestCount() == 2; }));
    m_Store.change("op/evacuate/north", "{}");
    m_Store.change("op/evacuate/south", "{}");
    for (std::thread &Each : Callers)
      Each.join();
    CPPUNIT_ASSERT_EQUAL(2, Served.load());
  }

  void testAllDataHallsDrained() {
    startIn();
    m_Store.change("op/evacuate/north", "{}");
    m_Store.change("op/evacuate/south", "{}");
    settle();
    Reply Refused = send(request("/again/x"));
    CPPUNIT_ASSERT_EQUAL(503U, Refused.m_Status);
    CPPUNIT_ASSERT(Refused.m_Headers.find("Retry-After"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), requestCount());
    m_Store.remove("op/evacuate/south");
    settle();
    CPPUNIT_ASSERT_EQUAL(20, sendMany());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), requestsAt(1));
  }

  /// As after a restart: the order is older than the process.
  void testDrainBeforeTheStart() {
    m_Store.m_Content.push_back(
        {"op/evacuate/north", "not JSON", platform::Revision(1)});
    startIn();
    CPPUNIT_ASSERT_EQUAL(20, sendMany());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), requestsAt(1));
  }

  void testUnknownDataHallChangesNothing() {
    startIn();
    m_Store.change("op/evacuate/nowhere", "{}");
    settle();
    CPPUNIT_ASSERT_EQUAL(120, sendTogether());
    CPPUNIT_ASSERT(requestsAt(1) > 0);
    CPPUNIT_ASSERT(requestsAt(2) > 0);
  }

  void testQuickChangesEndInTheLastState() {
    startIn();
    for (int I = 0; I < 5; ++I) {
      m_Store.change("op/evacuate/north", "{}");
      m_Store.remove("op/evacuate/north");
    }
    m_Store.change("op/evacuate/north", "{}");
    settle();
    CPPUNIT_ASSERT_EQUAL(20, sendMany());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), requestsAt(1));
  }

  void testRouteRegionsBind() {
    startIn(R"(,"homeRegions":["down"])");
    CPPUNIT_ASSERT_EQUAL(120, sendTogether());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), requestsAt(1));
  }

  void testAccountAndRouteRegionsBothBind() {
    startIn(R"(,"homeRegions":["up","down"])", R"(,"homeRegions":["up"])");
    CPPUNIT_ASSERT_EQUAL(120, sendTogether());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), requestsAt(2));
    // The region's only data hall is drained: no other may serve.
    m_Store.change("op/evacuate/north", "{}");
    settle();
    CPPUNIT_ASSERT_EQUAL(503U, sendOne());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), requestsAt(2));
  }

  void testUnknownRegionIsRefused() {
    startIn(R"(,"homeRegions":["nowhere"])");
    Reply Refused = send(request("/again/x"));
    CPPUNIT_ASSERT_EQUAL(503U, Refused.m_Status);
    CPPUNIT_ASSERT(Refused.m_Headers.find("Retry-After"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), requestCount());
  }

  void testRegionHoldsForARetry() {
    m_IsFailing = true;
    startIn(R"(,"homeRegions":["up"])");
    CPPUNIT_ASSERT_EQUAL(500U, sendOne());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), requestsAt(2));
  }

  void testNewRegionsApplyToNewRequests() {
    startIn();
    CPPUNIT_ASSERT_EQUAL(20, sendMany());
    m_Store.change("op/config",
                   configuration(8, R"(,"homeRegions":["down"])", ""));
    settle();
    std::size_t Before = requestsAt(1);
    CPPUNIT_ASSERT_EQUAL(120, sendTogether());
    CPPUNIT_ASSERT_EQUAL(Before, requestsAt(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DataHallTest);
