//===-- OddEntryTest.cpp - Entries that other programs leave --------------===//
//
// Guards against an entry of the store that ends the processes that read it, or
// keeps them from following later changes.
//
//===----------------------------------------------------------------------===//
#include "GatewayFleet.h"

#include "LibCore/Error.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

namespace {

/// Store that an instance doesn't reach.
class UnreachableStore final : public EmptyStore {
public:
  std::vector<platform::Entry> readPrefix(const std::string &,
                                          platform::CallClass,
                                          boost::asio::yield_context) override {
    throw core::Error(core::ErrorKind::Unavailable, "unreachable");
  }
};

} // namespace

class OddEntryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddEntryTest);
  CPPUNIT_TEST(testOddEntriesAmongChanges);
  CPPUNIT_TEST(testOddEntriesInASnapshot);
  CPPUNIT_TEST(testOddEntriesFromAPeer);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t Targets = 2;
  static constexpr int Depth = 100000;

  /// Keys of all kinds of entries that are read, and some of none.
  static std::vector<std::string> keys() {
    std::vector<std::string> Out;
    for (const char *Each : {"servers/odd",
                             "servers/",
                             "servers/i-0-1",
                             "servers/a/b",
                             "op/config",
                             "op/evacuate/",
                             "op/evacuate/odd",
                             "op/rollout/",
                             "op/rollout/app",
                             "status/rollout/app",
                             "yardrill/rollout/app",
                             "yardrill/instances",
                             "yardrill/quota-owners",
                             "yardrill/quota-leaseholders",
                             "yardrill/departures",
                             "yardrill/quarantine",
                             "yardrill/stream-origins/127.0.0.1:1",
                             "yardrill/stream-origins/",
                             "yardrill/",
                             "",
                             "other"})
      Out.emplace_back(Each);
    Out.push_back("servers/" + std::string(4000, 'k'));
    Out.emplace_back("servers/a\r\nX: y");
    Out.emplace_back("servers/\xe2\x98\x83");
    return Out;
  }
  static std::string repeated(const std::string &Text, int Count) {
    std::string Out;
    for (int I = 0; I < Count; ++I)
      Out += Text;
    return Out;
  }
  static std::string announcement(const std::string &Field,
                                  const std::string &Value) {
    std::map<std::string, std::string> Fields{
        {"service", R"("app")"}, {"address", R"("127.0.0.1:9")"},
        {"zone", R"("hall")"},   {"version", R"("v1")"},
        {"slots", "4"},          {"state", R"("ready")"},
        {"coldLeftMs", "0"},     {"seq", "1"}};
    Fields[Field] = Value;
    std::string Out;
    for (const auto &[Name, Text] : Fields)
      Out += (Out.empty() ? "{\"" : ",\"") + Name + "\":" + Text;
    return Out + "}";
  }
  static std::vector<std::string> values() {
    std::vector<std::string> Out{
        "",
        "null",
        "{}",
        "[]",
        "\xff\xfe{",
        std::string("\0\0\n\0", 4),
        std::string(65536, 'x'),
        repeated("[", Depth),
        repeated("[", Depth) + repeated("]", Depth),
        repeated(R"({"a":)", Depth) + "1" + repeated("}", Depth),
        announcement("extra", repeated("[", 31) + repeated("]", 31)),
        "127.0.0.1:99999 hall\n",
        "127.0.0.1:1",
        repeated("0", 32) + " 99999999999999999999 zz\n",
        repeated("z", 32) + " 1 7631\n",
        R"({"version":1e999,"routes":[{"timeoutMs":1e308}]})",
        R"({"service":"app","targetVersion":"v","bakeS":1e999})"};
    for (const char *Field : {"slots", "seq", "coldLeftMs", "born", "address"})
      for (const char *Number :
           {"1e999", "-1e999", "1e308", "18446744073709551616",
            "9223372036854775807", "-1", "0.5", "1e-400", "1e99999999999"})
        Out.push_back(announcement(Field, Number));
    for (const char *Address :
         {"127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:-1",
          "127.0.0.1:", "host:80", ":80", "[::1]:80", "255.255.255.255:1"})
      Out.push_back(announcement("address", '"' + std::string(Address) + '"'));
    for (const char *Field : {"service", "zone", "version", "state"})
      for (const std::string &Text :
           {std::string(65536, 'x'), std::string("a\\u0000b"),
            std::string("a\\r\\nX: y"), std::string()})
        Out.push_back(announcement(Field, '"' + Text + '"'));
    return Out;
  }

  /// Publishes a configuration with a new route and asserts that the gateways
  /// follow.
  static void assertFollowing(GatewayFleet &Fleet, const std::string &After) {
    static int Version = 100;
    std::string Path = "/fresh-" + std::to_string(++Version) + "/";
    Fleet.store().put(
        "op/config",
        R"({"version":)" + std::to_string(Version) +
            R"(,"routes":[{"host":"h","pathPrefix":")" + Path +
            R"(","routeKind":"idempotent","timeoutMs":3000,"sloMs":300,)" +
            R"("service":"app","maxAttempts":2}],"services":[{"name":"app"}],)" +
            R"("tenants":[{"name":"owner","apiKeys":["key"]}]})");
    for (std::size_t I = 0; I < Fleet.size(); ++I)
      CPPUNIT_ASSERT_MESSAGE(After, eventually([&] {
                               return Fleet.send(I, Path, "").m_Status == 200;
                             }));
  }
  static void putAll(GatewayFleet &Fleet, const std::string &Key) {
    for (const std::string &Value : values())
      Fleet.store().put(Key, Value);
  }
  /// Leaves each value under a key of its own.
  static void putSideBySide(GatewayFleet &Fleet) {
    std::size_t Number = 0;
    for (const std::string &Key : keys())
      for (const std::string &Value : values())
        if (Key != "op/config" && Key != "servers/i-0-1")
          Fleet.store().put(Key + "-" + std::to_string(++Number), Value);
  }

public:
  void testOddEntriesAmongChanges() {
    GatewayFleet Fleet(1, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    for (const std::string &Key : keys()) {
      putAll(Fleet, Key);
      assertFollowing(Fleet, Key);
      Fleet.store().remove(Key);
    }
  }

  void testOddEntriesInASnapshot() {
    GatewayFleet Fleet(1, Targets);
    putSideBySide(Fleet);
    Fleet.startAll();
    assertFollowing(Fleet, "snapshot");
  }

  void testOddEntriesFromAPeer() {
    UnreachableStore Unreachable;
    GatewayFleet Fleet(2, Targets);
    Fleet.setStore(1, Unreachable);
    Fleet.startAll();
    assertFollowing(Fleet, "start");
    for (const std::string &Key : keys()) {
      putAll(Fleet, Key);
      Fleet.store().remove(Key);
    }
    putSideBySide(Fleet);
    assertFollowing(Fleet, "peer");
    Fleet.kill(1);
    Fleet.start(1);
    assertFollowing(Fleet, "snapshot of a peer");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddEntryTest);
