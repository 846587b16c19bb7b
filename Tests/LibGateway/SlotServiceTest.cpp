//===-- SlotServiceTest.cpp - Messages that hand slots over ---------------===//
//
// Guards against grants that change on the wire or reach nobody, against counts
// that don't tell used slots from unused ones, and against peers that don't
// learn how many requests wait.
//
//===----------------------------------------------------------------------===//
#include "LibGateway/SlotService.h"
#include "LibGateway/PeerExchange.h"
#include "LibPeer/PeerCodec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::gateway;
using std::chrono::milliseconds;

class SlotServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotServiceTest);
  CPPUNIT_TEST(testPeerUsesTheSlot);
  CPPUNIT_TEST(testUnusedSlotComesBack);
  CPPUNIT_TEST(testGrantsForRequestsAreLeftToOthers);
  CPPUNIT_TEST(testChangeOfWhatWaitsIsReported);
  CPPUNIT_TEST_SUITE_END();

  /// One instance; messages between the two go through the codec at once.
  struct Instance {
    config::Endpoint m_Address;
    routing::TargetDirectory m_Targets;
    metrics::MetricsRegistry m_Metrics;
    std::vector<core::RequestId> m_Sent;
    Instance *m_Peer = nullptr;
    routing::Dispatcher m_Dispatcher{
        m_Targets,
        core::DataHallName("hall"),
        routing::PlacementPolicy::LeastPredictedWait,
        {[this](core::RequestId Id, const routing::Target &) {
           m_Sent.push_back(Id);
         },
         [](core::RequestId) {}, nullptr}};
    SlotService m_Service{
        m_Dispatcher, m_Targets, m_Metrics,
        [this](const config::Endpoint &, const peer::PeerBody &Body) {
          peer::PeerCodec Codec("key");
          peer::PeerMessage Message;
          Message.m_From.m_Peer = m_Address;
          Message.m_Body = Body;
          auto Received = Codec.decode(Codec.encode(Message));
          m_Peer->m_Service.handle(std::get<peer::PeerMessage>(Received),
                                   core::steadyNow());
        }};

    bool hasCounted(const std::string &Counter) const {
      return m_Metrics.exposition().find("\n" + Counter + " 1\n") !=
             std::string::npos;
    }
  };

  core::TimePoint m_Now = core::steadyNow();
  core::PoolName m_Pool{"pool"};
  Instance m_Giver;
  Instance m_Receiver;
  routing::TargetIncarnation m_Target{core::TargetName("a"),
                                      core::TargetStartTime(1764770000123)};

  std::size_t runningAtGiver() {
    return m_Giver.m_Targets.find(m_Target.m_Name)->running();
  }

public:
  void setUp() override {
    m_Giver.m_Address = {"10.1.0.1", 7600};
    m_Receiver.m_Address = {"10.1.0.2", 7600};
    m_Giver.m_Peer = &m_Receiver;
    m_Receiver.m_Peer = &m_Giver;
    routing::Target Announced;
    Announced.m_Name = m_Target.m_Name;
    Announced.m_StartTime = m_Target.m_StartTime;
    Announced.m_Pool = m_Pool;
    for (Instance *Each : {&m_Giver, &m_Receiver}) {
      Each->m_Targets.announce(Announced);
      Each->m_Dispatcher.setOverload(routing::OverloadSettings());
    }
    routing::PoolDemand Demand;
    Demand[routing::Priority()].m_Waiting = 1;
    m_Giver.m_Dispatcher.demand().setPeers(
        {{m_Receiver.m_Address, {{routing::hashOf(m_Pool), Demand}}}});
  }

  void testPeerUsesTheSlot() {
    // As it knows the load, the receiver has no free slot.
    m_Receiver.m_Targets.setRemoteLoad({{m_Target.hash(), {1, 0}}});
    routing::PlacementRequest Request;
    Request.m_Request = core::RequestId(7);
    Request.m_Pool = m_Pool;
    Request.m_ArrivedAt = m_Now;
    Request.m_FirstByteDue = m_Now + std::chrono::seconds(30);
    Request.m_FirstEventDeadline = Request.m_FirstByteDue;
    Request.m_EndsAt = m_Now + std::chrono::seconds(60);
    m_Receiver.m_Dispatcher.place(Request, m_Now);
    CPPUNIT_ASSERT(m_Receiver.m_Sent.empty());
    m_Giver.m_Service.handleFreedSlot(m_Target, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Receiver.m_Sent.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), runningAtGiver());
    CPPUNIT_ASSERT(m_Giver.hasCounted("yardrill_slots_granted_total"));
    CPPUNIT_ASSERT(m_Receiver.hasCounted("yardrill_slots_received_total"));
    CPPUNIT_ASSERT(!m_Giver.hasCounted("yardrill_slots_unused_total"));
    CPPUNIT_ASSERT(m_Giver.m_Service.hasLeases());
    m_Giver.m_Service.upkeep(m_Now + routing::SlotExchange::GroupHeldTime);
    CPPUNIT_ASSERT(!m_Giver.m_Service.hasLeases());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), runningAtGiver());
  }

  void testUnusedSlotComesBack() {
    m_Giver.m_Service.handleFreedSlot(m_Target, m_Now);
    CPPUNIT_ASSERT(m_Receiver.m_Sent.empty());
    CPPUNIT_ASSERT(m_Giver.hasCounted("yardrill_slots_granted_total"));
    CPPUNIT_ASSERT(m_Giver.hasCounted("yardrill_slots_unused_total"));
    CPPUNIT_ASSERT(!m_Giver.m_Service.hasLeases());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), runningAtGiver());
  }

  /// They belong to a request for a slot of another group.
  void testGrantsForRequestsAreLeftToOthers() {
    peer::PeerMessage Message;
    Message.m_From.m_Peer = m_Giver.m_Address;
    peer::SlotGrant Grant;
    Grant.m_RequestId = 3;
    Grant.m_Lease = 4;
    Message.m_Body = Grant;
    m_Receiver.m_Service.handle(Message, m_Now);
    CPPUNIT_ASSERT(!m_Receiver.hasCounted("yardrill_slots_received_total"));
  }

  void testChangeOfWhatWaitsIsReported() {
    std::size_t Reports = 0;
    peer::TierDemandEntry Demand;
    PeerExchangeHooks Hooks;
    Hooks.m_FillReport = [&](peer::LoadReport &Report) {
      Report.m_HasWaitingRequests = true;
      Report.m_Demand = {Demand};
    };
    Hooks.m_Changed = [] {};
    Hooks.m_LargestPoolSize = [] { return std::size_t(1); };
    Hooks.m_Repartitioned = [](const routing::FleetSubset &) {};
    Hooks.m_Send = [&](const std::vector<config::Endpoint> &,
                       const peer::PeerBody &) { ++Reports; };
    GatewaySettings Settings;
    Settings.m_PeerAddress = m_Giver.m_Address;
    platform::StoreMirror Mirror(1);
    PeerExchange Exchange({core::IncarnationId(1), m_Giver.m_Address}, Settings,
                          Mirror, Hooks, m_Now, 1);
    core::DataHallName Hall("hall");
    Exchange.setRecorded(
        {{m_Giver.m_Address, Hall}, {m_Receiver.m_Address, Hall}});
    auto ReportsOfNextPeriod = [&] {
      Reports = 0;
      m_Now += PeerExchange::TickPeriod;
      Exchange.tick(m_Now);
      return Reports;
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), ReportsOfNextPeriod()); // In full.
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), ReportsOfNextPeriod());
    Demand.m_Waiting = 2;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), ReportsOfNextPeriod());
    Demand.m_ArrivalsPerSecond = 3;
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), ReportsOfNextPeriod());
    Demand.m_Waiting = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), ReportsOfNextPeriod());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotServiceTest);
