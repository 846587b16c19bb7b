//===-- MalformedTargetEntryTest.cpp - Invalid target announcements -------===//
//
// Guards against store entries of other programs that look like a target's:
// none may yield a usable target or affect the valid ones.
//
//===----------------------------------------------------------------------===//
#include "PlatformDialect.h"
#include "StoreEntries.h"

#include "LibCore/Error.h"
#include "LibRouting/TargetDirectory.h"

#include <boost/json.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace yardrill;
using namespace yardrill::platform;
namespace json = boost::json;

class MalformedTargetEntryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MalformedTargetEntryTest);
  CPPUNIT_TEST(testReadsOldAndNewFormats);
  CPPUNIT_TEST(testMissingFieldsAreRejected);
  CPPUNIT_TEST(testWrongTypesAreRejected);
  CPPUNIT_TEST(testInvalidStatesAndNumbersAreRejected);
  CPPUNIT_TEST(testNamesInvalidInHeadersAreRejected);
  CPPUNIT_TEST(testRandomEntriesParseOrThrow);
  CPPUNIT_TEST_SUITE_END();

  PlatformDialect m_Dialect;

  /// Returns an announcement as in older deployments, without a start time.
  static json::object oldFormat() {
    return {{"service", "huvo11a"}, {"address", "10.128.0.9:8080"},
            {"zone", "bandung"},    {"version", "v1"},
            {"slots", 6},           {"state", "ready"},
            {"coldLeftMs", 0},      {"seq", 4}};
  }
  static json::object newFormat() {
    json::object Out = oldFormat();
    Out["born"] = 1796258454000;
    return Out;
  }
  static Entry entry(const std::string &Text) {
    return {"servers/i-7f", Text, Revision(1)};
  }
  static Entry entry(const json::object &Content) {
    return entry(json::serialize(Content));
  }
  routing::Target read(const Entry &Change) const {
    return std::get<gateway::TargetUpdate>(m_Dialect.read(Change)).m_Target;
  }
  bool isTarget(const Entry &Change) const {
    try {
      return std::holds_alternative<gateway::TargetUpdate>(
          m_Dialect.read(Change));
    } catch (const core::Error &) {
      return false;
    }
  }

public:
  void testReadsOldAndNewFormats() {
    CPPUNIT_ASSERT(read(entry(oldFormat())).m_StartTime ==
                   core::TargetStartTime());
    CPPUNIT_ASSERT(read(entry(newFormat())).m_StartTime ==
                   core::TargetStartTime(1796258454000));
    json::object More = newFormat();
    More["stage"] = "colocated";
    More["models"] = json::array{json::object{{"name", "m"}}};
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), read(entry(More)).m_Slots);
  }

  void testMissingFieldsAreRejected() {
    for (const json::object &Format : {oldFormat(), newFormat()})
      for (const auto &Field : Format) {
        if (Field.key() == "born")
          continue; // Optional: the old format does not have it.
        json::object Incomplete = Format;
        Incomplete.erase(Field.key());
        CPPUNIT_ASSERT_MESSAGE(std::string(Field.key()),
                               !isTarget(entry(Incomplete)));
      }
  }

  void testWrongTypesAreRejected() {
    const json::value Values[] = {nullptr,        true,          json::array{4},
                                  json::object{}, json::array{}, 1.5};
    for (const auto &Field : newFormat())
      for (const json::value &Value : Values) {
        if (Field.key() == "coldLeftMs" && Value.is_number())
          continue; // Fractions are allowed.
        json::object Other = newFormat();
        Other[Field.key()] = Value;
        CPPUNIT_ASSERT_MESSAGE(json::serialize(Other), !isTarget(entry(Other)));
      }
    for (const char *Name : {"slots", "seq", "coldLeftMs", "born"}) {
      json::object Other = newFormat();
      Other[Name] = "4";
      CPPUNIT_ASSERT_MESSAGE(Name, !isTarget(entry(Other)));
    }
    for (const char *Name :
         {"service", "address", "zone", "version", "state"}) {
      json::object Other = newFormat();
      Other[Name] = 4;
      CPPUNIT_ASSERT_MESSAGE(Name, !isTarget(entry(Other)));
    }
  }

  void testInvalidStatesAndNumbersAreRejected() {
    for (const char *State : {"", "READY", "ready ", "starting", "gone"}) {
      json::object Other = newFormat();
      Other["state"] = State;
      CPPUNIT_ASSERT_MESSAGE(State, !isTarget(entry(Other)));
    }
    for (double Slots : {0.0, -1.0, 1e300, 65536.0}) {
      json::object Other = newFormat();
      Other["slots"] = Slots;
      CPPUNIT_ASSERT(!isTarget(entry(Other)));
    }
    for (double StartTime : {-1.0, 1e300, 0.5}) {
      json::object Other = newFormat();
      Other["born"] = StartTime;
      CPPUNIT_ASSERT(!isTarget(entry(Other)));
    }
    for (const char *Address :
         {"", "10.1.0.9", "10.1.0.9:", "10.1.0.9:99999", "host:80", "::1"}) {
      json::object Other = newFormat();
      Other["address"] = Address;
      CPPUNIT_ASSERT_MESSAGE(Address, !isTarget(entry(Other)));
    }
  }

  void testNamesInvalidInHeadersAreRejected() {
    for (const char *Name : {"", "a b", "a\r\nX: 1", "a\tb", "\xc3\xa9"}) {
      Entry Change = entry(newFormat());
      Change.m_Key = std::string("servers/") + Name;
      CPPUNIT_ASSERT_MESSAGE(Name, !isTarget(Change));
    }
  }

  /// Removes, changes and truncates fields at random. Each result must be a
  /// target with valid fields or a Protocol error, and the targets announced
  /// before must stay unchanged.
  void testRandomEntriesParseOrThrow() {
    routing::TargetDirectory Targets;
    for (int I = 0; I < 4; ++I) {
      routing::Target Valid = read(entry(newFormat()));
      Valid.m_Name = core::TargetName("sound-" + std::to_string(I));
      Targets.announce(Valid);
    }
    std::mt19937_64 Random(20261203);
    std::size_t ParsedCount = 0;
    for (int Round = 0; Round < 20000; ++Round) {
      Entry Change = entry(mutated(Random));
      Change.m_Key = "servers/foreign";
      try {
        routing::Target Parsed = read(Change);
        CPPUNIT_ASSERT(Parsed.m_Slots >= 1 && Parsed.m_Slots <= 65535);
        CPPUNIT_ASSERT(Parsed.m_StartTime.value() >= 0);
        CPPUNIT_ASSERT(Parsed.m_Address.m_Port != 0);
        Targets.announce(Parsed);
        ++ParsedCount;
      } catch (const core::Error &Failure) {
        CPPUNIT_ASSERT(Failure.kind() == core::ErrorKind::Protocol);
        Targets.withdraw(*m_Dialect.targetOf(Change), core::TimePoint());
      }
    }
    CPPUNIT_ASSERT(ParsedCount > 100 && ParsedCount < 19900);
    for (int I = 0; I < 4; ++I) {
      auto *Valid =
          Targets.find(core::TargetName("sound-" + std::to_string(I)));
      CPPUNIT_ASSERT(Valid && !Valid->m_ExpiredAt);
      CPPUNIT_ASSERT_EQUAL(std::size_t(6), Valid->m_Target.m_Slots);
    }
  }

private:
  static std::size_t randomBelow(std::mt19937_64 &Random, std::size_t Limit) {
    return std::uniform_int_distribution<std::size_t>(0, Limit - 1)(Random);
  }
  static std::string mutated(std::mt19937_64 &Random) {
    static const json::value Values[] = {
        nullptr, false,      0,    -7, 1e18,         0.25,
        "ready", "draining", "v2", "", json::array{}};
    json::object Content =
        randomBelow(Random, 2) == 0 ? oldFormat() : newFormat();
    for (std::size_t Changes = randomBelow(Random, 3); Changes > 0; --Changes) {
      auto Field = Content.begin() + randomBelow(Random, Content.size());
      if (randomBelow(Random, 3) == 0)
        Content.erase(Field->key());
      else
        Content[Field->key()] = Values[randomBelow(Random, std::size(Values))];
    }
    std::string Text = json::serialize(Content);
    if (randomBelow(Random, 4) == 0)
      Text.resize(randomBelow(Random, Text.size()));
    for (std::size_t Bytes = randomBelow(Random, 8) / 6; Bytes > 0; --Bytes)
      if (!Text.empty())
        Text[randomBelow(Random, Text.size())] =
            static_cast<char>(randomBelow(Random, 256));
    return Text;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedTargetEntryTest);
