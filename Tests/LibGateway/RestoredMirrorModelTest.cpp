//===-- RestoredMirrorModelTest.cpp - Mirrors of a store that goes back ---===//
//
// Guards against mirrors that keep or spread state of an older era, whatever is
// late, repeated or reordered. A model of one store and several mirrors, which
// read, watch and update each other; random, seeded.
//
//===----------------------------------------------------------------------===//
#include "LibGateway/MirrorUpdate.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <map>
#include <random>

using namespace yardrill;
using namespace yardrill::platform;
using gateway::MirrorUpdate;

namespace {

/// Store with a history, which can go back to a copy.
class ModelStore {
public:
  void write(const std::string &Key, const std::string &Value, bool IsDeleted) {
    ++m_Count;
    Entry Written{Key, Value, makeRevision(m_Era, m_Count), IsDeleted};
    if (IsDeleted)
      m_Entries.erase(Key);
    else
      m_Entries[Key] = Written;
    m_Changes.push_back(Written);
  }
  void keepCopy() {
    m_Copy = m_Entries;
    m_CopyCount = m_Count;
  }
  void restore() {
    ++m_Era;
    m_Count = m_CopyCount;
    m_Entries = m_Copy;
    for (auto &[Key, Each] : m_Entries)
      Each.m_ModRevision = makeRevision(m_Era, countOf(Each.m_ModRevision));
    m_Changes.clear();
    m_HistoryStart = m_Count;
  }
  Revision revision() const { return makeRevision(m_Era, m_Count); }
  std::vector<Entry> content() const {
    std::vector<Entry> Out;
    for (const auto &[Key, Each] : m_Entries)
      Out.push_back(Each);
    return Out;
  }
  /// Returns the changes; none if the store doesn't have them.
  std::optional<std::vector<Entry>> changesAfter(Revision After) const {
    if (eraOf(After) != m_Era || countOf(After) < m_HistoryStart)
      return std::nullopt;
    std::vector<Entry> Out;
    for (const Entry &Each : m_Changes)
      if (After < Each.m_ModRevision)
        Out.push_back(Each);
    return Out;
  }

private:
  std::int64_t m_Era = 1;
  std::int64_t m_Count = 0;
  std::int64_t m_HistoryStart = 0;
  std::map<std::string, Entry> m_Entries;
  std::vector<Entry> m_Changes;
  std::map<std::string, Entry> m_Copy;
  std::int64_t m_CopyCount = 0;
};

class Model {
public:
  explicit Model(std::uint64_t Seed) : m_Random(Seed) {
    for (std::size_t I = 0; I < Mirrors; ++I)
      m_Mirrors.emplace_back(HistoryLength);
  }

  void run() {
    for (int Step = 0; Step < Steps; ++Step)
      takeStep();
    deliverAll();
    for (StoreMirror &Each : m_Mirrors)
      follow(Each);
    for (StoreMirror &Each : m_Mirrors)
      assertSame(Each);
  }

private:
  static constexpr std::size_t Mirrors = 4;
  static constexpr std::size_t HistoryLength = 12;
  static constexpr int Steps = 400;

  std::uint64_t draw(std::uint64_t Bound) { return m_Random() % Bound; }
  StoreMirror &anyMirror() { return m_Mirrors[draw(Mirrors)]; }

  void takeStep() {
    std::uint64_t Kind = draw(100);
    if (Kind < 40)
      return m_Store.write("key" + std::to_string(draw(6)),
                           "value" + std::to_string(m_Random()), draw(5) == 0);
    if (Kind < 43)
      return m_Store.keepCopy();
    if (Kind < 45)
      return m_Store.restore();
    if (Kind < 65)
      return follow(anyMirror());
    if (Kind < 85)
      return sendUpdate(draw(Mirrors), draw(Mirrors));
    if (!m_InFlight.empty())
      deliver(draw(m_InFlight.size()));
  }
  /// Watches the store, or reads it if it lacks the history; a response may
  /// arrive late.
  void follow(StoreMirror &Mirror) {
    Revision Before = Mirror.revision();
    auto Changes =
        Before == Revision() ? std::nullopt : m_Store.changesAfter(Before);
    if (Changes)
      Mirror.apply(m_Store.revision(), *Changes);
    else
      Mirror.replaceAll(m_Store.revision(), m_Store.content());
    CPPUNIT_ASSERT(!(Mirror.revision() < Before));
  }
  struct Message {
    std::size_t m_To = 0;
    std::string m_Text;
  };
  void sendUpdate(std::size_t From, std::size_t To) {
    const StoreMirror &Source = m_Mirrors[From];
    if (Source.revision() == Revision())
      return;
    MirrorUpdate Update = MirrorUpdate::since(Source, m_Mirrors[To].revision());
    if (Update.m_IsSnapshot)
      Update = MirrorUpdate::snapshot(Source);
    m_InFlight.push_back({To, Update.encode()});
  }
  void deliver(std::size_t Index) {
    const Message &Arrived = m_InFlight[Index];
    StoreMirror &Mirror = m_Mirrors[Arrived.m_To];
    Revision Before = Mirror.revision();
    MirrorUpdate::decode(Arrived.m_Text).applyTo(Mirror);
    CPPUNIT_ASSERT(!(Mirror.revision() < Before));
    // Some are repeated.
    if (draw(4) != 0)
      m_InFlight.erase(m_InFlight.begin() + static_cast<long>(Index));
  }
  void deliverAll() {
    while (!m_InFlight.empty())
      deliver(draw(m_InFlight.size()));
  }
  void assertSame(const StoreMirror &Mirror) const {
    std::vector<Entry> Expected = m_Store.content();
    CPPUNIT_ASSERT(Mirror.revision() == m_Store.revision());
    CPPUNIT_ASSERT_EQUAL(Expected.size(), Mirror.content().size());
    for (const Entry &Each : Expected) {
      const Entry *Known = Mirror.find(Each.m_Key);
      CPPUNIT_ASSERT(Known);
      CPPUNIT_ASSERT_EQUAL(Each.m_Value, Known->m_Value);
    }
  }

  std::mt19937_64 m_Random;
  ModelStore m_Store;
  std::vector<StoreMirror> m_Mirrors;
  std::deque<Message> m_InFlight;
};

} // namespace

class RestoredMirrorModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestoredMirrorModelTest);
  CPPUNIT_TEST(testMirrorsAgreeWithTheStore);
  CPPUNIT_TEST_SUITE_END();

public:
  void testMirrorsAgreeWithTheStore() {
    static constexpr std::uint64_t Seeds = 5000;
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      try {
        Model(Seed).run();
      } catch (const CppUnit::Exception &Failure) {
        CPPUNIT_FAIL("seed " + std::to_string(Seed) + ": " + Failure.what());
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredMirrorModelTest);
