#include "LibGateway/FleetRoster.h"

#include "EmptyStore.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

class FleetRosterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetRosterTest);
  CPPUNIT_TEST(testFirstListIsWhoIsHeard);
  CPPUNIT_TEST(testNewInstanceIsAddedAtOnce);
  CPPUNIT_TEST(testShortSilenceChangesNothing);
  CPPUNIT_TEST(testLongSilenceLeavesOut);
  CPPUNIT_TEST(testMinorityLeavesNobodyOut);
  CPPUNIT_TEST(testRecordIsReadAsItWasWritten);
  CPPUNIT_TEST(testUnreadableRecordIsNone);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};
  using Instance = FleetList::value_type;
  const Instance m_A{{"10.1.0.1", 7600}, core::DataHallName("hall a")};
  const Instance m_B{{"10.1.0.2", 7600}, core::DataHallName("hall b")};
  const Instance m_C{{"10.1.0.3", 7600}, core::DataHallName("hall a")};

  /// Keeps what is written.
  class WritableStore final : public tests::EmptyStore {
  public:
    std::optional<platform::CompareAndSwap> m_Written;

    platform::SwapResult compareAndSwap(const platform::CompareAndSwap &Swap,
                                        platform::CallClass,
                                        boost::asio::yield_context) override {
      m_Written = Swap;
      return {true, platform::Revision(8), std::nullopt};
    }
  };

public:
  void testFirstListIsWhoIsHeard() {
    FleetRoster Roster;
    CPPUNIT_ASSERT(*Roster.correction({m_A, m_B}, m_Now) ==
                   FleetList({m_A, m_B}));
  }

  void testNewInstanceIsAddedAtOnce() {
    FleetRoster Roster;
    Roster.setRecorded({m_A, m_C});
    CPPUNIT_ASSERT(!Roster.correction({m_A, m_C}, m_Now));
    CPPUNIT_ASSERT(*Roster.correction({m_A, m_B, m_C}, m_Now) ==
                   FleetList({m_A, m_B, m_C}));
  }

  void testShortSilenceChangesNothing() {
    FleetRoster Roster;
    Roster.setRecorded({m_A, m_B, m_C});
    CPPUNIT_ASSERT(!Roster.correction({m_A, m_C}, m_Now));
    CPPUNIT_ASSERT(!Roster.correction({m_A, m_C}, m_Now + seconds(10)));
    // It came back; the next silence is another one.
    CPPUNIT_ASSERT(!Roster.correction({m_A, m_B, m_C}, m_Now + seconds(11)));
    CPPUNIT_ASSERT(!Roster.correction({m_A, m_C}, m_Now + seconds(12)));
    CPPUNIT_ASSERT(!Roster.correction({m_A, m_C}, m_Now + seconds(22)));
  }

  void testLongSilenceLeavesOut() {
    FleetRoster Roster;
    Roster.setRecorded({m_A, m_B, m_C});
    CPPUNIT_ASSERT(!Roster.correction({m_A, m_C}, m_Now));
    CPPUNIT_ASSERT(*Roster.correction({m_A, m_C}, m_Now + seconds(13)) ==
                   FleetList({m_A, m_C}));
  }

  void testMinorityLeavesNobodyOut() {
    // It is cut off from the others, and not from the store.
    FleetRoster Roster;
    Roster.setRecorded({m_A, m_B, m_C});
    CPPUNIT_ASSERT(!Roster.correction({m_A}, m_Now));
    CPPUNIT_ASSERT(!Roster.correction({m_A}, m_Now + seconds(60)));
  }

  void testRecordIsReadAsItWasWritten() {
    boost::asio::io_context Context;
    WritableStore Store;
    FleetRecord Record(Context, Store);
    Record.write({m_A, m_B}, m_Now);
    // Not twice within a short time.
    Record.write({m_A, m_B, m_C}, m_Now + seconds(1));
    Context.run();
    CPPUNIT_ASSERT(Store.m_Written);
    CPPUNIT_ASSERT(Record.isItsKey(Store.m_Written->m_Key));
    platform::Entry Change;
    Change.m_Key = Store.m_Written->m_Key;
    Change.m_Value = Store.m_Written->m_Puts.at(0).m_Value;
    CPPUNIT_ASSERT(Record.read(Change) == FleetList({m_A, m_B}));
  }

  void testUnreadableRecordIsNone() {
    boost::asio::io_context Context;
    WritableStore Store;
    FleetRecord Record(Context, Store);
    platform::Entry Change;
    Change.m_Value = "10.1.0.1:7600 hall\nnot an address\n";
    CPPUNIT_ASSERT(Record.read(Change).empty());
    Change.m_Value = "10.1.0.1:7600 hall\n";
    Change.m_IsDeleted = true;
    CPPUNIT_ASSERT(Record.read(Change).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetRosterTest);
