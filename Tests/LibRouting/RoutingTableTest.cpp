//===-- RoutingTableTest.cpp - Lookup of routes, accounts and pools -------===//
#include "LibRouting/RoutingTable.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace yardrill;
using namespace yardrill::routing;

class RoutingTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutingTableTest);
  CPPUNIT_TEST(testLongestPrefixOfTheHostWins);
  CPPUNIT_TEST(testKeysFindTheirAccount);
  CPPUNIT_TEST(testSplitFollowsItsWeights);
  CPPUNIT_TEST(testRetryableRouteKinds);
  CPPUNIT_TEST_SUITE_END();

  static Route route(const std::string &Name, const std::string &Host,
                     const std::string &Prefix) {
    Route Out;
    Out.m_Name = Name;
    Out.m_Host = Host;
    Out.m_Prefix = Prefix;
    Out.m_Pools = {{core::PoolName("pool"), 1}};
    return Out;
  }

public:
  void testLongestPrefixOfTheHostWins() {
    auto Table = RoutingTable::Builder()
                     .route(route("short", "a.example", "/x/"))
                     .route(route("long", "a.example", "/x/y/"))
                     .route(route("other", "b.example", "/x/y/z/"))
                     .build();
    auto NameOf = [&](const char *Host, const char *Path) {
      const Route *Found = Table->findRoute(Host, Path);
      return Found ? Found->m_Name : std::string("none");
    };
    CPPUNIT_ASSERT_EQUAL(std::string("long"), NameOf("a.example", "/x/y/z/1"));
    CPPUNIT_ASSERT_EQUAL(std::string("short"), NameOf("a.example", "/x/yy"));
    CPPUNIT_ASSERT_EQUAL(std::string("none"), NameOf("a.example", "/x"));
    CPPUNIT_ASSERT_EQUAL(std::string("none"), NameOf("b.example", "/x/y/"));
    CPPUNIT_ASSERT_EQUAL(std::string("none"), NameOf("c.example", "/x/y/"));
  }

  void testKeysFindTheirAccount() {
    Account First;
    First.m_Name = core::AccountName("first");
    First.m_Keys = {"k1", "k2"};
    Account Second;
    Second.m_Name = core::AccountName("second");
    Second.m_Keys = {"k3"};
    auto Table = RoutingTable::Builder().account(First).account(Second).build();
    CPPUNIT_ASSERT(Table->hasAccounts());
    CPPUNIT_ASSERT(Table->findAccountByKey("k2")->m_Name == First.m_Name);
    CPPUNIT_ASSERT(Table->findAccountByKey("k3")->m_Name == Second.m_Name);
    CPPUNIT_ASSERT(!Table->findAccountByKey("k4"));
    CPPUNIT_ASSERT(!RoutingTable::Builder().build()->hasAccounts());
  }

  void testSplitFollowsItsWeights() {
    Route Split = route("split", "a.example", "/");
    Split.m_Pools = {{core::PoolName("most"), 90}, {core::PoolName("few"), 10}};
    std::map<core::PoolName, int> Counts;
    for (std::uint64_t Point = 0; Point < 1000; ++Point)
      ++Counts[Split.choosePool(Point)];
    CPPUNIT_ASSERT_EQUAL(900, Counts[core::PoolName("most")]);
    CPPUNIT_ASSERT_EQUAL(100, Counts[core::PoolName("few")]);
    Split.m_Pools = {{core::PoolName("none"), 0}, {core::PoolName("all"), 1}};
    for (std::uint64_t Point = 0; Point < 10; ++Point)
      CPPUNIT_ASSERT(Split.choosePool(Point) == core::PoolName("all"));
  }

  void testRetryableRouteKinds() {
    Route Each;
    Each.m_Kind = RouteKind::NonIdempotent;
    CPPUNIT_ASSERT(!Each.isRetryable());
    Each.m_Kind = RouteKind::Idempotent;
    CPPUNIT_ASSERT(Each.isRetryable());
    Each.m_Kind = RouteKind::Stream;
    CPPUNIT_ASSERT(!Each.isRetryable());
    Each.m_IsResumable = true;
    CPPUNIT_ASSERT(Each.isRetryable());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTableTest);
