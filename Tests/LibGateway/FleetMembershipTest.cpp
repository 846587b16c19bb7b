//===-- FleetMembershipTest.cpp - Membership of silent and new instances --===//
#include "LibGateway/FleetMembership.h"

#include "EmptyStore.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

class FleetMembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetMembershipTest);
  CPPUNIT_TEST(testFirstListHoldsLiveInstances);
  CPPUNIT_TEST(testNewInstanceIsAddedAtOnce);
  CPPUNIT_TEST(testShortSilenceChangesNothing);
  CPPUNIT_TEST(testLongSilenceRemovesInstance);
  CPPUNIT_TEST(testSilenceCountsFromTheLastReport);
  CPPUNIT_TEST(testSilentMajorityIsRemoved);
  CPPUNIT_TEST(testAnnouncedStopOutlastsThoseThatHeardIt);
  CPPUNIT_TEST(testRestartRefutesAnnouncedStop);
  CPPUNIT_TEST(testRecordRoundTrip);
  CPPUNIT_TEST(testUnreadableRecordIsIgnored);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};
  using Instance = FleetMembers::value_type;
  const Instance m_A{{"10.1.0.1", 7600}, core::DataHallName("hall a")};
  const Instance m_B{{"10.1.0.2", 7600}, core::DataHallName("hall b")};
  const Instance m_C{{"10.1.0.3", 7600}, core::DataHallName("hall a")};

  /// Records the last write.
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

  static std::function<bool(const config::Endpoint &)>
  isOneOf(const FleetMembers &Owners) {
    return [Owners](const config::Endpoint &Each) {
      return Owners.count(Each) != 0;
    };
  }

public:
  void testFirstListHoldsLiveInstances() {
    FleetMembership Membership;
    CPPUNIT_ASSERT(*Membership.proposeUpdate({m_A, m_B}, m_Now) ==
                   FleetMembers({m_A, m_B}));
  }

  void testNewInstanceIsAddedAtOnce() {
    FleetMembership Membership;
    Membership.setRecorded({m_A, m_C});
    CPPUNIT_ASSERT(!Membership.proposeUpdate({m_A, m_C}, m_Now));
    CPPUNIT_ASSERT(*Membership.proposeUpdate({m_A, m_B, m_C}, m_Now) ==
                   FleetMembers({m_A, m_B, m_C}));
  }

  void testShortSilenceChangesNothing() {
    FleetMembership Membership;
    Membership.setRecorded({m_A, m_B, m_C});
    CPPUNIT_ASSERT(!Membership.proposeUpdate({m_A, m_C}, m_Now));
    CPPUNIT_ASSERT(!Membership.proposeUpdate({m_A, m_C}, m_Now + seconds(10)));
    // The instance returned, so that the next silence starts anew.
    CPPUNIT_ASSERT(
        !Membership.proposeUpdate({m_A, m_B, m_C}, m_Now + seconds(11)));
    CPPUNIT_ASSERT(!Membership.proposeUpdate({m_A, m_C}, m_Now + seconds(12)));
    CPPUNIT_ASSERT(!Membership.proposeUpdate({m_A, m_C}, m_Now + seconds(22)));
  }

  void testLongSilenceRemovesInstance() {
    FleetMembership Membership;
    Membership.setRecorded({m_A, m_B, m_C});
    CPPUNIT_ASSERT(!Membership.proposeUpdate({m_A, m_C}, m_Now));
    CPPUNIT_ASSERT(*Membership.proposeUpdate({m_A, m_C}, m_Now + seconds(13)) ==
                   FleetMembers({m_A, m_C}));
  }

  void testSilenceCountsFromTheLastReport() {
    constexpr seconds ReportLifetime{10};
    FleetMembership Membership;
    Membership.setRecorded({m_A, m_B, m_C});
    // It has never heard of the third instance.
    CPPUNIT_ASSERT(
        !Membership.proposeUpdate({m_A, m_B}, m_Now, ReportLifetime));
    m_Now += seconds(1);
    CPPUNIT_ASSERT(!Membership.proposeUpdate({m_A}, m_Now, ReportLifetime));
    CPPUNIT_ASSERT(
        *Membership.proposeUpdate({m_A}, m_Now + seconds(3), ReportLifetime) ==
        FleetMembers({m_A, m_C}));
  }

  void testSilentMajorityIsRemoved() {
    // Owners of quotas outlast this; see QuotaOwnershipTest.
    FleetMembership Membership;
    Membership.setRecorded({m_A, m_B, m_C});
    CPPUNIT_ASSERT(!Membership.proposeUpdate({m_A}, m_Now));
    CPPUNIT_ASSERT(!Membership.proposeUpdate({m_A}, m_Now + seconds(11)));
    CPPUNIT_ASSERT(*Membership.proposeUpdate({m_A}, m_Now + seconds(13)) ==
                   FleetMembers({m_A}));
  }

  void testAnnouncedStopOutlastsThoseThatHeardIt() {
    FleetMembership Membership;
    Membership.setRecorded({m_A, m_B});
    MemberReports Live{{m_A.first, {platform::Revision(1), false}},
                       {m_B.first, {platform::Revision(1), true}}};
    CPPUNIT_ASSERT(*Membership.proposeDepartures(Live, isOneOf({})) ==
                   FleetMembers({m_B}));
    // Another process reads the record, and has not heard of the instance.
    FleetMembership Reader;
    Reader.setRecorded({m_A, m_B});
    Reader.setDeparted({m_B});
    Live.erase(m_B.first);
    CPPUNIT_ASSERT(!Reader.proposeDepartures(Live, isOneOf({})));
    CPPUNIT_ASSERT(!Reader.proposeUpdate({m_A}, m_Now));
    CPPUNIT_ASSERT(*Reader.proposeUpdate({m_A}, m_Now + seconds(3)) ==
                   FleetMembers({m_A}));
    Reader.setRecorded({m_A});
    // It is still listed as an owner.
    CPPUNIT_ASSERT(!Reader.proposeDepartures(Live, isOneOf({m_A, m_B})));
    CPPUNIT_ASSERT(Reader.proposeDepartures(Live, isOneOf({m_A}))->empty());
  }

  void testRestartRefutesAnnouncedStop() {
    FleetMembership Membership;
    Membership.setRecorded({m_A, m_B});
    Membership.setDeparted({m_B});
    MemberReports Live{{m_A.first, {platform::Revision(1), false}},
                       {m_B.first, {platform::Revision(1), false}}};
    CPPUNIT_ASSERT(Membership.proposeDepartures(Live, isOneOf({}))->empty());
    CPPUNIT_ASSERT(!Membership.proposeUpdate({m_A, m_B}, m_Now));
  }

  void testRecordRoundTrip() {
    boost::asio::io_context Context;
    WritableStore Store;
    MembershipRecord Record(Context, Store);
    Record.write({m_A, m_B}, m_Now);
    // Ignored, since it follows the first write too soon.
    Record.write({m_A, m_B, m_C}, m_Now + seconds(1));
    Context.run();
    CPPUNIT_ASSERT(Store.m_Written);
    CPPUNIT_ASSERT(Record.isRecordKey(Store.m_Written->m_Key));
    platform::Entry Change;
    Change.m_Key = Store.m_Written->m_Key;
    Change.m_Value = Store.m_Written->m_Puts.at(0).m_Value;
    CPPUNIT_ASSERT(Record.read(Change) == FleetMembers({m_A, m_B}));
  }

  void testUnreadableRecordIsIgnored() {
    boost::asio::io_context Context;
    WritableStore Store;
    MembershipRecord Record(Context, Store);
    platform::Entry Change;
    Change.m_Value = "10.1.0.1:7600 hall\nnot an address\n";
    CPPUNIT_ASSERT(Record.read(Change).empty());
    Change.m_Value = "10.1.0.1:7600 hall\n";
    Change.m_IsDeleted = true;
    CPPUNIT_ASSERT(Record.read(Change).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetMembershipTest);
