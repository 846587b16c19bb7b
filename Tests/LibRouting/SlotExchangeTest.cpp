//===-- SlotExchangeTest.cpp - Slots handed over in a group ---------------===//
//
// Instances joined in memory that share one pool. Guards against slots that
// lower tiers get while a higher one waits elsewhere, that stay taken after a
// lost message or an exit, and against requests that run twice or at a target
// that must not get them.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/SlotExchange.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <memory>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;

namespace {

struct Instance {
  config::Endpoint m_Address;
  TargetDirectory m_Targets;
  std::unique_ptr<Dispatcher> m_Dispatcher;
  std::unique_ptr<SlotExchange> m_Slots;
  std::vector<std::uint64_t> m_Sent; ///< Requests in order.
  std::map<std::uint64_t, TargetIncarnation> m_SentTo;
  std::set<std::uint64_t> m_Refused;
  bool m_IsGone = false;
  bool m_LosesMessages = false;
};

} // namespace

class SlotExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotExchangeTest);
  CPPUNIT_TEST(testHighestTierOfTheGroupGetsTheSlot);
  CPPUNIT_TEST(testEqualTierStaysLocal);
  CPPUNIT_TEST(testLowestTierIsNotGranted);
  CPPUNIT_TEST(testGiversDoNotExceedWhatWaits);
  CPPUNIT_TEST(testUnusedGrantIsOfferedOn);
  CPPUNIT_TEST(testLostMessagesFreeTheSlotAfterItsTime);
  CPPUNIT_TEST(testReportOfTheReceiverEndsTheLease);
  CPPUNIT_TEST(testTargetThatEndsMeanwhileGetsNothing);
  CPPUNIT_TEST(testClosedTargetGetsNothing);
  CPPUNIT_TEST(testLimitOfTheTargetHolds);
  CPPUNIT_TEST(testRequestsThatMayNotUseTheTargetAreSkipped);
  CPPUNIT_TEST(testGrantedRequestRunsOnce);
  CPPUNIT_TEST(testOnlyTheHolderReturnsALease);
  CPPUNIT_TEST(testSwitchedOffSlotsStayLocal);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};
  core::PoolName m_Pool{"pool"};
  core::DataHallName m_Hall{"hall"};
  std::vector<std::unique_ptr<Instance>> m_Instances;
  std::deque<std::function<void()>> m_Messages;
  std::size_t m_Grants = 0;
  std::size_t m_Returns = 0;
  OverloadSettings m_Settings;

  Instance &at(std::size_t Index) { return *m_Instances.at(Index); }
  Instance &at(const config::Endpoint &Address) {
    return at(static_cast<std::size_t>(Address.m_Port));
  }
  void post(const config::Endpoint &From, const config::Endpoint &To,
            std::function<void()> Message) {
    if (!at(From).m_LosesMessages && !at(To).m_IsGone)
      m_Messages.push_back(std::move(Message));
  }
  void deliver() {
    while (!m_Messages.empty()) {
      auto Next = std::move(m_Messages.front());
      m_Messages.pop_front();
      Next();
    }
  }
  void addInstance() {
    auto Added = std::make_unique<Instance>();
    Instance &Own = *Added;
    Own.m_Address = {"10.1.0.1",
                     static_cast<std::uint16_t>(m_Instances.size())};
    Own.m_Dispatcher = std::make_unique<Dispatcher>(
        Own.m_Targets, m_Hall, PlacementPolicy::LeastPredictedWait,
        DispatcherHooks{
            [&Own](core::RequestId Id, const Target &Chosen) {
              Own.m_Sent.push_back(Id.value());
              Own.m_SentTo[Id.value()] = Chosen.incarnation();
            },
            [&Own](core::RequestId Id) { Own.m_Refused.insert(Id.value()); },
            nullptr});
    Own.m_Dispatcher->setOverload(m_Settings);
    Own.m_Slots = std::make_unique<SlotExchange>(
        *Own.m_Dispatcher, Own.m_Targets, 1000 * (m_Instances.size() + 1),
        SlotExchangeHooks{
            [&Own, this](const config::Endpoint &To, const SlotGrant &Granted) {
              ++m_Grants;
              post(Own.m_Address, To, [this, &Own, To, Granted] {
                at(To).m_Slots->handleGrant(Own.m_Address, Granted, m_Now);
              });
            },
            [&Own, this](const config::Endpoint &To, SlotLeaseId Lease) {
              ++m_Returns;
              post(Own.m_Address, To, [this, &Own, To, Lease] {
                at(To).m_Slots->handleReturn(Own.m_Address, Lease, m_Now);
              });
            },
            [] { return 0.5; }});
    m_Instances.push_back(std::move(Added));
  }
  /// Adds instances, each of which fills the slots of one target.
  void addBusyInstances(std::size_t Count, std::size_t Slots = 1) {
    for (std::size_t I = 0; I < Count; ++I)
      addInstance();
    for (std::size_t I = 0; I < Count; ++I)
      announce(name(I), Slots);
    for (std::size_t I = 0; I < Count; ++I)
      for (std::size_t Each = 0; Each < Slots; ++Each)
        CPPUNIT_ASSERT(at(I).m_Targets.tryStartRequest(name(I), 0, m_Now));
    report();
  }
  static core::TargetName name(std::size_t Index) {
    return core::TargetName("t-" + std::to_string(Index));
  }
  void announce(const core::TargetName &Name, std::size_t Slots,
                bool IsLeaving = false, std::int64_t StartTime = 0) {
    Target Out;
    Out.m_Name = Name;
    Out.m_StartTime = core::TargetStartTime(StartTime);
    Out.m_Pool = m_Pool;
    Out.m_DataHall = m_Hall;
    Out.m_Slots = Slots;
    Out.m_IsLeaving = IsLeaving;
    for (auto &Each : m_Instances)
      Each->m_Targets.announce(Out);
  }
  /// Lets all instances know the load and the demand of the others.
  void report() {
    for (auto &To : m_Instances) {
      std::unordered_map<std::uint32_t, TargetLoad> Sums;
      std::map<config::Endpoint, ReportedDemand> Demands;
      for (auto &From : m_Instances) {
        if (From == To || From->m_IsGone)
          continue;
        for (const KnownTarget *Busy : From->m_Targets.busyTargets())
          Sums[Busy->m_Hash].m_Running += Busy->m_LocalLoad.m_Running;
        for (const auto &[Pool, Demand] :
             From->m_Dispatcher->scarceDemand(m_Now))
          Demands[From->m_Address][hashOf(Pool)] = Demand;
        To->m_Slots->handleReport(From->m_Address, m_Now);
      }
      To->m_Targets.setRemoteLoad(Sums);
      To->m_Dispatcher->demand().setPeers(std::move(Demands));
    }
  }
  void place(std::size_t Index, std::uint64_t Id, std::uint32_t Tier,
             const PlacementRequest &Template = {}) {
    PlacementRequest Request = Template;
    Request.m_Request = core::RequestId(Id);
    Request.m_Pool = m_Pool;
    Request.m_Priority.m_Route = core::TierNumber(Tier);
    Request.m_IsInference = true;
    Request.m_ArrivedAt = m_Now;
    Request.m_FirstByteDue = m_Now + std::chrono::seconds(20);
    Request.m_FirstEventDeadline = Request.m_FirstByteDue;
    Request.m_EndsAt = m_Now + std::chrono::seconds(60);
    at(Index).m_Dispatcher->place(Request, m_Now);
  }
  /// Ends a request of an instance at its own target.
  bool end(std::size_t Index) {
    at(Index).m_Targets.recordEnd(name(Index), 0);
    return at(Index).m_Slots->handleFreedSlot(name(Index), m_Now);
  }
  bool wasSent(std::size_t Index, std::uint64_t Id) {
    return at(Index).m_SentTo.count(Id) != 0;
  }
  std::size_t running(std::size_t Index, std::size_t Target) {
    return at(Index).m_Targets.find(name(Target))->m_LocalLoad.m_Running;
  }
  void advance(milliseconds Time) {
    m_Now += Time;
    for (auto &Each : m_Instances)
      Each->m_Slots->upkeep(m_Now);
  }

public:
  void testHighestTierOfTheGroupGetsTheSlot() {
    addBusyInstances(3);
    place(0, 1, 3);
    place(1, 2, 2);
    place(2, 3, 1);
    report();
    CPPUNIT_ASSERT(end(0));
    deliver();
    CPPUNIT_ASSERT(wasSent(2, 3));
    CPPUNIT_ASSERT(at(2).m_SentTo[3] == TargetIncarnation(name(0)));
    CPPUNIT_ASSERT(at(0).m_Sent.empty() && at(1).m_Sent.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Returns);
  }

  void testEqualTierStaysLocal() {
    addBusyInstances(2);
    place(0, 1, 1);
    place(1, 2, 1);
    report();
    CPPUNIT_ASSERT(!end(0));
    CPPUNIT_ASSERT(wasSent(0, 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Grants);
  }

  /// The lowest of several tiers waits although slots are free, and would
  /// return them.
  void testLowestTierIsNotGranted() {
    addBusyInstances(2);
    place(0, 1, 1);
    place(0, 2, 2);
    at(0).m_Dispatcher->withdraw(core::RequestId(1));
    at(0).m_Dispatcher->withdraw(core::RequestId(2));
    place(1, 3, 2);
    report();
    CPPUNIT_ASSERT(!end(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Grants);
  }

  void testGiversDoNotExceedWhatWaits() {
    addBusyInstances(3, 2);
    place(1, 1, 1);
    report();
    CPPUNIT_ASSERT(end(0));
    CPPUNIT_ASSERT(!end(0));
    CPPUNIT_ASSERT(end(2));
    deliver();
    // The second giver could not know of the first one, and gets its slot back.
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Grants);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Returns);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), at(1).m_Sent.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), running(2, 2));
  }

  void testUnusedGrantIsOfferedOn() {
    addBusyInstances(3);
    place(1, 1, 1);
    place(2, 2, 2);
    report();
    at(1).m_Dispatcher->withdraw(core::RequestId(1));
    CPPUNIT_ASSERT(end(0));
    deliver();
    CPPUNIT_ASSERT(wasSent(2, 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Grants);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Returns);
  }

  void testLostMessagesFreeTheSlotAfterItsTime() {
    addBusyInstances(2);
    place(1, 1, 1);
    report();
    at(0).m_LosesMessages = true;
    CPPUNIT_ASSERT(end(0));
    deliver();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), running(0, 0));
    advance(SlotExchange::GroupHeldTime - milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), running(0, 0));
    advance(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), running(0, 0));
    // The return is lost.
    at(0).m_LosesMessages = false;
    at(1).m_LosesMessages = true;
    at(0).m_Targets.tryStartRequest(name(0), 0, m_Now);
    report();
    at(1).m_Dispatcher->withdraw(core::RequestId(1));
    CPPUNIT_ASSERT(end(0));
    deliver();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Returns);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), running(0, 0));
    advance(SlotExchange::GroupHeldTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), running(0, 0));
    // The receiver exits.
    at(1).m_LosesMessages = false;
    place(1, 2, 1);
    at(0).m_Targets.tryStartRequest(name(0), 0, m_Now);
    report();
    at(1).m_IsGone = true;
    CPPUNIT_ASSERT(end(0));
    deliver();
    advance(SlotExchange::GroupHeldTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), running(0, 0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), at(0).m_Slots->leases().size());
  }

  /// Otherwise the slot would count twice, and the next one that comes free at
  /// the target would look taken.
  void testReportOfTheReceiverEndsTheLease() {
    addBusyInstances(2);
    place(1, 1, 1);
    report();
    CPPUNIT_ASSERT(end(0));
    deliver();
    CPPUNIT_ASSERT(wasSent(1, 1));
    report();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), running(0, 0));
    m_Now += milliseconds(40);
    report();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), running(0, 0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         at(0).m_Targets.find(name(0))->running());
  }

  void testTargetThatEndsMeanwhileGetsNothing() {
    addBusyInstances(2);
    place(1, 1, 1);
    report();
    CPPUNIT_ASSERT(end(0));
    announce(name(0), 1, false, 5);
    at(1).m_Targets.tryStartRequest({name(0), core::TargetStartTime(5)}, 0,
                                    m_Now);
    deliver();
    CPPUNIT_ASSERT(!wasSent(1, 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Returns);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), running(0, 0));
    advance(SlotExchange::GroupHeldTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), running(0, 0));
  }

  void testClosedTargetGetsNothing() {
    addBusyInstances(2);
    place(1, 1, 1);
    report();
    SlotGrant Granted{77, name(0), SlotExchange::GroupHeldTime};
    Instance &Receiver = at(1);
    auto IsUsed = [&] {
      return Receiver.m_Slots->handleGrant(at(0).m_Address, Granted, m_Now);
    };
    announce(name(0), 1, true);
    CPPUNIT_ASSERT(!IsUsed());
    CPPUNIT_ASSERT(!end(0));
    announce(name(0), 1);
    Receiver.m_Targets.setDrained(m_Hall, true, m_Now);
    CPPUNIT_ASSERT(!IsUsed());
    Receiver.m_Targets.setDrained(m_Hall, false, m_Now);
    TargetBackpressure Stated;
    Stated.m_Backoff = milliseconds(500);
    Receiver.m_Targets.throttles().update(name(0), Stated, m_Now);
    CPPUNIT_ASSERT(!IsUsed());
    m_Now += milliseconds(501);
    CPPUNIT_ASSERT(IsUsed());
    CPPUNIT_ASSERT(wasSent(1, 1));
  }

  void testLimitOfTheTargetHolds() {
    addBusyInstances(2);
    place(1, 1, 1);
    place(1, 2, 1);
    report();
    Instance &Receiver = at(1);
    TargetBackpressure Stated;
    Stated.m_RequestsPerSecond = 0.1;
    Receiver.m_Targets.throttles().update(name(0), Stated, m_Now);
    SlotGrant Granted{77, name(0), SlotExchange::GroupHeldTime};
    for (int I = 0; I < 5; ++I)
      Receiver.m_Slots->handleGrant(at(0).m_Address, Granted, m_Now);
    CPPUNIT_ASSERT(Receiver.m_Sent.size() <= 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), Receiver.m_Sent.size() + m_Returns);
  }

  void testRequestsThatMayNotUseTheTargetAreSkipped() {
    addBusyInstances(2);
    // The target with the slot is here, the other one elsewhere.
    core::DataHallName Far("far");
    at(1).m_Targets.setRegions({{m_Hall, core::RegionName("here")},
                                {Far, core::RegionName("elsewhere")}});
    Target Moved = at(1).m_Targets.find(name(1))->m_Target;
    Moved.m_DataHall = Far;
    at(1).m_Targets.announce(Moved);
    PlacementRequest Tried;
    Tried.m_TriedTargets = {name(0)};
    PlacementRequest Elsewhere;
    Elsewhere.m_Regions = {core::RegionName("elsewhere")};
    place(1, 1, 1, Tried);
    place(1, 2, 1, Elsewhere);
    place(1, 3, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), at(1).m_Dispatcher->waiting());
    report();
    CPPUNIT_ASSERT(end(0));
    deliver();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), at(1).m_SentTo.size());
    CPPUNIT_ASSERT(wasSent(1, 3));
  }

  void testGrantedRequestRunsOnce() {
    addBusyInstances(2);
    place(1, 1, 1);
    report();
    SlotGrant Granted{77, name(0), SlotExchange::GroupHeldTime};
    // A datagram that arrives twice, and the own slot that comes free.
    at(1).m_Slots->handleGrant(at(0).m_Address, Granted, m_Now);
    at(1).m_Slots->handleGrant(at(0).m_Address, Granted, m_Now);
    end(1);
    at(1).m_Dispatcher->dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), at(1).m_Sent.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), at(1).m_Dispatcher->waiting());
    CPPUNIT_ASSERT(at(1).m_Refused.empty());
  }

  void testOnlyTheHolderReturnsALease() {
    addBusyInstances(3);
    place(1, 1, 1);
    report();
    CPPUNIT_ASSERT(end(0));
    m_Messages.clear();
    SlotExchange &Giver = *at(0).m_Slots;
    CPPUNIT_ASSERT(!Giver.handleReturn(at(2).m_Address, 1000, m_Now));
    CPPUNIT_ASSERT(!Giver.handleReturn(at(1).m_Address, 999, m_Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), running(0, 0));
    CPPUNIT_ASSERT(Giver.handleReturn(at(1).m_Address, 1000, m_Now));
    CPPUNIT_ASSERT(!Giver.handleReturn(at(1).m_Address, 1000, m_Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), running(0, 0));
  }

  void testSwitchedOffSlotsStayLocal() {
    m_Settings.m_SlotHandover = false;
    addBusyInstances(2);
    place(0, 1, 1);
    place(1, 2, 1);
    place(0, 3, 3);
    report();
    CPPUNIT_ASSERT(!end(0));
    CPPUNIT_ASSERT(wasSent(0, 1));
    SlotGrant Granted{77, name(0), SlotExchange::GroupHeldTime};
    CPPUNIT_ASSERT(
        !at(1).m_Slots->handleGrant(at(0).m_Address, Granted, m_Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Grants);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Returns);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotExchangeTest);
