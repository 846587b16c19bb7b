//===-- QuotaOwnershipModelTest.cpp - All orders of changes and faults ----===//
//
// Guards against holders that together grant more than a whole quota, without
// any tolerance, in any order of changes of the membership, splits, losses of
// the store and restarts. Plays the real
// QuotaOwnership and ConsistentHashRing of a few instances in steps of 5 s:
// every sequence of a few events, and random longer ones.
//
// Whatever an instance learns from others may be as late as in the product:
// witnesses and the writer count reports of up to 10 s ago. A new owner's delay
// for the time in which its predecessor misses the loss of the store is left
// out, so such a predecessor stops at once here.
//
//===----------------------------------------------------------------------===//
#include "LibGateway/QuotaOwnership.h"

#include <algorithm>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <sstream>

using namespace yardrill;
using namespace yardrill::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t MaxInstances = 6;
constexpr seconds StepTime{5};
constexpr int StepsUntilForgotten = 2;
constexpr milliseconds UpkeepPeriod{1250};
constexpr std::size_t Accounts = 24;

enum class EventKind { Split, Heal, Add, Remove, Restart, Wait };

/// Splits the fleet in two; the store is reached by one side or by none.
struct Event {
  EventKind m_Kind = EventKind::Wait;
  unsigned m_Side = 0;      ///< Split: set of instances; else one of them.
  unsigned m_StoreSide = 0; ///< 0 or 1 reach the store; 2: none.
  int m_Steps = 1;          ///< Time until the next event.
};

std::string toString(const Event &Each) {
  static const char *const Names[] = {"split",  "heal",    "add",
                                      "remove", "restart", "wait"};
  std::ostringstream Out;
  Out << Names[static_cast<int>(Each.m_Kind)] << " " << Each.m_Side << "/"
      << Each.m_StoreSide << " " << Each.m_Steps << "; ";
  return Out.str();
}

config::Endpoint address(std::size_t Index) {
  return {"10.1.0." + std::to_string(10 + Index), 7600};
}

bool contains(const std::vector<config::Endpoint> &All,
              const config::Endpoint &Searched) {
  return std::find(All.begin(), All.end(), Searched) != All.end();
}

struct Lists {
  platform::Revision m_Revision{1};
  platform::Revision m_MembersAt{1};
  platform::Revision m_OwnersAt{1};
  FleetMembers m_Members;
  FleetMembers m_Owners;
  FleetMembers m_Leaseholders;
};

class Model {
public:
  explicit Model(std::size_t Owners) : m_Size(Owners) {
    for (std::size_t I = 0; I < Owners; ++I)
      m_Stored.m_Members.emplace(address(I), core::DataHallName("hall"));
    m_Stored.m_Owners = m_Stored.m_Leaseholders = m_Stored.m_Members;
    for (std::size_t I = 0; I < Owners; ++I)
      start(m_Instances[I], m_Stored);
    advance(4);
  }

  std::size_t size() const { return m_Size; }
  bool isMember(std::size_t Index) const {
    return m_Stored.m_Members.count(address(Index)) != 0;
  }

  /// Applies the event, and advances the time. \returns false if the holders of
  /// an account could grant more than the whole.
  bool play(const Event &Next) {
    switch (Next.m_Kind) {
    case EventKind::Split:
      m_Side = Next.m_Side;
      m_StoreSide = Next.m_StoreSide;
      break;
    case EventKind::Heal:
      m_Side = 0;
      m_StoreSide = 0;
      break;
    case EventKind::Add:
      add();
      break;
    case EventKind::Remove:
      remove(Next.m_Side);
      break;
    case EventKind::Restart:
      restart(Next.m_Side);
      break;
    case EventKind::Wait:
      break;
    }
    return advance(Next.m_Steps);
  }

private:
  struct Instance {
    Lists m_Lists;
    std::array<std::optional<routing::QuotaShare>, Accounts> m_Shares;
    QuotaWitnesses m_Witnesses;
    core::TimePoint m_LeaseRenewedAt{};
    /// Revision that it last reported to each other one, and steps since then.
    std::array<platform::Revision, MaxInstances> m_Heard;
    std::array<int, MaxInstances> m_Silence{};
  };

  unsigned sideOf(std::size_t Index) const { return (m_Side >> Index) & 1; }
  bool canReach(std::size_t A, std::size_t B) const {
    return sideOf(A) == sideOf(B);
  }
  bool reachesStore(std::size_t Index) const {
    return sideOf(Index) == m_StoreSide;
  }

  void start(Instance &Started, const Lists &Read) {
    Started = Instance();
    Started.m_Silence.fill(StepsUntilForgotten + 1);
    read(Started, Read);
  }
  void read(Instance &Reader, const Lists &Read) {
    auto Index = static_cast<std::size_t>(&Reader - m_Instances.data());
    Reader.m_Lists = Read;
    routing::QuotaRings Rings = ringsOf(
        address(Index), {Read.m_Owners, Read.m_Leaseholders}, Read.m_Members);
    for (std::size_t I = 0; I < Accounts; ++I)
      Reader.m_Shares[I] = Rings.shareOf(
          static_cast<std::uint32_t>(I * (std::uint64_t(1) << 32) / Accounts),
          address(Index));
    Reader.m_Witnesses =
        QuotaWitnesses(address(Index), Read.m_Owners, Read.m_Members);
  }

  /// Anything that reaches the store may be written, whoever is silent.
  bool isStoreReached() const {
    for (std::size_t I = 0; I < m_Size; ++I)
      if (reachesStore(I))
        return true;
    return false;
  }
  void add() {
    if (m_Size == MaxInstances || m_StoreSide > 1)
      return;
    std::size_t Index = m_Size++;
    m_Side = (m_Side & ~(1U << Index)) | (m_StoreSide << Index);
    m_Stored.m_Members.emplace(address(Index), core::DataHallName("hall"));
    changeMembers();
    start(m_Instances[Index], m_Stored);
  }
  void remove(std::size_t Index) {
    if (!isStoreReached() || m_Stored.m_Members.size() < 2)
      return;
    // Instances that are heard are not removed.
    if (Index < m_Size && !reachesStore(Index) &&
        m_Stored.m_Members.erase(address(Index)) != 0)
      changeMembers();
  }
  void changeMembers() {
    m_Stored.m_Revision = platform::Revision(m_Stored.m_Revision.value() + 1);
    m_Stored.m_MembersAt = m_Stored.m_Revision;
  }
  /// Restarts an instance where it can read lists that are as new as its own.
  void restart(std::size_t Index) {
    if (Index >= m_Size)
      return;
    const Lists *Newest = reachesStore(Index) ? &m_Stored : nullptr;
    for (std::size_t I = 0; I < m_Size && !Newest; ++I)
      if (I != Index && canReach(I, Index) &&
          !(m_Instances[I].m_Lists.m_Revision <
            m_Instances[Index].m_Lists.m_Revision))
        Newest = &m_Instances[I].m_Lists;
    if (Newest)
      start(m_Instances[Index], Lists(*Newest));
  }

  bool advance(int Steps) {
    for (int Step = 0; Step < Steps; ++Step) {
      renewLeases();
      // The worst moment is before the lists have spread.
      if (!isExclusive())
        return false;
      spreadLists();
      report();
      for (core::TimePoint End = m_Now + StepTime; m_Now < End;) {
        m_Now += UpkeepPeriod;
        updateOwners();
        spreadLists();
        renewLeases();
      }
      if (!isExclusive())
        return false;
    }
    return true;
  }

  void renewLeases() {
    for (std::size_t I = 0; I < m_Size; ++I)
      if (reachesStore(I) &&
          m_Instances[I].m_Lists.m_Members.count(address(I)) != 0)
        m_Instances[I].m_LeaseRenewedAt = m_Now;
  }

  void spreadLists() {
    for (std::size_t I = 0; I < m_Size; ++I)
      if (reachesStore(I) &&
          m_Instances[I].m_Lists.m_Revision < m_Stored.m_Revision)
        read(m_Instances[I], m_Stored);
    for (std::size_t I = 0; I < m_Size; ++I)
      for (std::size_t J = 0; J < m_Size; ++J)
        if (canReach(I, J) && m_Instances[I].m_Lists.m_Revision <
                                  m_Instances[J].m_Lists.m_Revision)
          read(m_Instances[I], Lists(m_Instances[J].m_Lists));
  }

  void report() {
    for (std::size_t I = 0; I < m_Size; ++I)
      for (std::size_t J = 0; J < m_Size; ++J) {
        Instance &To = m_Instances[I];
        ++To.m_Silence[J];
        if (!canReach(I, J))
          continue;
        To.m_Heard[J] = m_Instances[J].m_Lists.m_Revision;
        To.m_Silence[J] = 0;
      }
  }

  void updateOwners() {
    std::size_t Writer = 0;
    while (Writer < m_Size && !reachesStore(Writer))
      ++Writer;
    if (Writer == m_Size)
      return;
    if (Writer != m_Writer)
      m_Ownership = QuotaOwnership();
    m_Writer = Writer;
    m_Ownership.setMembers(m_Stored.m_Members, m_Stored.m_MembersAt);
    m_Ownership.setOwners(m_Stored.m_Owners, m_Stored.m_OwnersAt);
    m_Ownership.setLeaseholders(m_Stored.m_Leaseholders);
    MemberReports Live;
    for (std::size_t I = 0; I < m_Size; ++I)
      if (m_Instances[Writer].m_Silence[I] <= StepsUntilForgotten)
        Live[address(I)] = {m_Instances[Writer].m_Heard[I], false};
    auto Owners = m_Ownership.proposeUpdate(Live, m_Now);
    auto Leaseholders = m_Ownership.proposeLeaseholders(m_Now);
    if (Owners) {
      m_Stored.m_Owners = *Owners;
      m_Stored.m_Revision = platform::Revision(m_Stored.m_Revision.value() + 1);
      m_Stored.m_OwnersAt = m_Stored.m_Revision;
    }
    if (Leaseholders) {
      m_Stored.m_Leaseholders = *Leaseholders;
      m_Stored.m_Revision = platform::Revision(m_Stored.m_Revision.value() + 1);
    }
  }

  /// See PeerExchange::agreeingWitnesses().
  std::size_t agreeingWitnesses(const Instance &Owner) const {
    std::size_t Agreeing = 0;
    for (std::size_t I = 0; I < m_Size; ++I)
      if (contains(Owner.m_Witnesses.m_Permanent, address(I)) &&
          Owner.m_Silence[I] <= StepsUntilForgotten &&
          !(Owner.m_Lists.m_Revision < Owner.m_Heard[I]))
        ++Agreeing;
    return Agreeing;
  }

  /// See PeerExchange::hasQuotaLease().
  bool hasLease(const Instance &Owner) const {
    return m_Now - Owner.m_LeaseRenewedAt <= QuotaLeaseTime;
  }

  /// Returns the halves of a share that an instance holds; without a tolerance,
  /// a part of a share is one half.
  std::size_t heldHalves(std::size_t Index, std::size_t Account) const {
    const Instance &Owner = m_Instances[Index];
    const auto &Share = Owner.m_Shares[Account];
    if (!Share || (Share->m_IsPartial && !hasLease(Owner)))
      return 0;
    if (!reachesStore(Index) &&
        (Share->m_IsAtRisk ||
         !Owner.m_Witnesses.areEnough(agreeingWitnesses(Owner))))
      return 0;
    return Share->m_IsPartial || !hasLease(Owner) ? 1 : 2;
  }

  /// Whether the holders of each account hold its shares once at the most, once
  /// those that reach the store have read it.
  bool isExclusive() const {
    for (std::size_t Account = 0; Account < Accounts; ++Account) {
      std::size_t Halves = 0;
      for (std::size_t I = 0; I < m_Size; ++I) {
        bool IsBehind = reachesStore(I) &&
                        m_Instances[I].m_Lists.m_Revision < m_Stored.m_Revision;
        Halves += IsBehind ? 0 : heldHalves(I, Account);
      }
      if (Halves > 2 * routing::ConsistentHashRing::MaxOwners)
        return false;
    }
    return true;
  }

  core::TimePoint m_Now{std::chrono::hours(1)};
  std::size_t m_Size;
  unsigned m_Side = 0;
  unsigned m_StoreSide = 0;
  Lists m_Stored;
  std::array<Instance, MaxInstances> m_Instances;
  std::size_t m_Writer = 0;
  QuotaOwnership m_Ownership;
};

} // namespace

class QuotaOwnershipModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaOwnershipModelTest);
  CPPUNIT_TEST(testAllShortSequences);
  CPPUNIT_TEST(testRandomLongSequences);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<Event> eventsOf(std::size_t Size) {
    std::vector<Event> Out;
    for (int Steps : {1, 5}) {
      for (unsigned Side = 1; Side < (1U << Size) - 1; ++Side)
        for (unsigned StoreSide = 0; StoreSide < 2; ++StoreSide)
          Out.push_back({EventKind::Split, Side, StoreSide, Steps});
      Out.push_back({EventKind::Split, 0, 2, Steps});
      Out.push_back({EventKind::Heal, 0, 0, Steps});
      Out.push_back({EventKind::Add, 0, 0, Steps});
      for (unsigned I = 0; I < Size; ++I) {
        Out.push_back({EventKind::Remove, I, 0, Steps});
        Out.push_back({EventKind::Restart, I, 0, Steps});
      }
    }
    return Out;
  }

  static std::size_t playAll(const Model &From, int Depth,
                             const std::string &Path) {
    std::size_t Count = 0;
    for (const Event &Each : eventsOf(From.size())) {
      Model Next = From;
      std::string NextPath = Path + toString(Each);
      CPPUNIT_ASSERT_MESSAGE(NextPath, Next.play(Each));
      Count += Depth > 1 ? playAll(Next, Depth - 1, NextPath) : 1;
    }
    return Count;
  }

public:
  void testAllShortSequences() {
    std::size_t Count = playAll(Model(3), 3, "");
    Model Added(3);
    Event Add{EventKind::Add, 0, 0, 1};
    CPPUNIT_ASSERT(Added.play(Add));
    Count += playAll(Added, 2, toString(Add));
    std::cerr << " sequences=" << Count;
  }

  void testRandomLongSequences() {
    constexpr int Sequences = 4000;
    constexpr int Length = 14;
    std::mt19937_64 Random(1);
    for (int I = 0; I < Sequences; ++I) {
      Model Played(3 + Random() % 3);
      std::string Path;
      for (int J = 0; J < Length; ++J) {
        std::vector<Event> Events = eventsOf(Played.size());
        // Half of the events are no splits.
        if (Random() % 2 == 0)
          Events.erase(std::remove_if(Events.begin(), Events.end(),
                                      [](const Event &Each) {
                                        return Each.m_Kind == EventKind::Split;
                                      }),
                       Events.end());
        const Event &Next = Events[Random() % Events.size()];
        Path += toString(Next);
        CPPUNIT_ASSERT_MESSAGE(Path, Played.play(Next));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaOwnershipModelTest);
