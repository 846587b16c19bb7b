//===-- ValuePatchTest.cpp - Patches between versions of values -----------===//
#include "LibGateway/ValuePatch.h"
#include "LibGateway/ValueHistory.h"

#include "LibCore/Error.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

using namespace yardrill;
using namespace yardrill::gateway;
using core::Error;
using core::ErrorKind;
using platform::Entry;
using platform::Revision;

namespace {

constexpr std::size_t MaxBytes = 4UL * 1024 * 1024;

/// Returns a realistic configuration, in which no two routes are alike.
std::string configuration(std::size_t Routes, std::size_t ChangedRoute = 0) {
  std::string Out = R"({"version":7,"routes":[)";
  for (std::size_t I = 1; I <= Routes; ++I) {
    std::string Name = std::to_string(I * 2654435761U % 100000007U);
    Out += R"({"name":"r-)" + Name + R"(","host":"h)" + Name +
           R"(.example","pathPrefix":"/p)" + Name +
           R"(/","routeKind":"idempotent","timeoutMs":)" +
           (I == ChangedRoute ? "4321" : "8000") +
           R"(,"priority":1,"service":"pool","maxAttempts":2},)";
  }
  return Out;
}

Entry at(std::int64_t Modified, std::string Value) {
  return {"key", std::move(Value), Revision(Modified)};
}

} // namespace

class ValuePatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ValuePatchTest);
  CPPUNIT_TEST(testPatchRestoresValue);
  CPPUNIT_TEST(testSmallChangeIsSmall);
  CPPUNIT_TEST(testPatchSizeFollowsAddedRoutes);
  CPPUNIT_TEST(testWrongBaseIsRejected);
  CPPUNIT_TEST(testInvalidPatchesAreRejected);
  CPPUNIT_TEST(testHistoryPatchesFromKnownBases);
  CPPUNIT_TEST(testHistoryIsBounded);
  CPPUNIT_TEST_SUITE_END();

  static std::optional<ErrorKind> failureOf(std::string_view Base,
                                            std::string_view Patch,
                                            std::size_t Limit = MaxBytes) {
    try {
      applyPatch(Base, Patch, Limit);
    } catch (const Error &Failure) {
      return Failure.kind();
    }
    return std::nullopt;
  }

public:
  void testPatchRestoresValue() {
    std::string Large = configuration(2840);
    for (const std::string &Base : {std::string(), configuration(40), Large})
      for (const std::string &Value :
           {std::string(), std::string("x"), Large, configuration(2840, 9)})
        CPPUNIT_ASSERT_EQUAL(
            Value, applyPatch(Base, makePatch(Base, Value), MaxBytes));
  }

  void testSmallChangeIsSmall() {
    std::string Base = configuration(5500);
    std::string Patch = makePatch(Base, configuration(5500, 2000));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Patch.size()), Patch.size() < 512);
  }

  /// 1,400 added routes are 0.22 MB of text.
  void testPatchSizeFollowsAddedRoutes() {
    std::string Base = configuration(1440);
    std::string Patch = makePatch(Base, configuration(2840));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Patch.size()), Patch.size() < 40000);
  }

  void testWrongBaseIsRejected() {
    std::string Patch =
        makePatch(configuration(2840), configuration(2840, 2000));
    CPPUNIT_ASSERT(failureOf(configuration(2840, 100), Patch) ==
                   ErrorKind::Protocol);
    CPPUNIT_ASSERT(failureOf("", Patch) == ErrorKind::Protocol);
  }

  void testInvalidPatchesAreRejected() {
    std::string Patch = makePatch("", configuration(40));
    CPPUNIT_ASSERT(failureOf("", "no patch") == ErrorKind::Protocol);
    CPPUNIT_ASSERT(failureOf("", "") == ErrorKind::Protocol);
    CPPUNIT_ASSERT(failureOf("", Patch.substr(0, Patch.size() / 2)) ==
                   ErrorKind::Protocol);
    CPPUNIT_ASSERT(failureOf("", Patch, 100) == ErrorKind::LimitExceeded);
  }

  void testHistoryPatchesFromKnownBases() {
    ValueHistory History;
    History.addReplaced(at(3, configuration(1400)));
    Entry Newest = at(5, configuration(1400, 700));
    CachedPatch Small = History.patch(Newest, Revision(3));
    CPPUNIT_ASSERT(Small.m_Base == Revision(3));
    CPPUNIT_ASSERT(Small.m_Patch->size() < 512);
    CPPUNIT_ASSERT_EQUAL(Newest.m_Value, applyPatch(configuration(1400),
                                                    *Small.m_Patch, MaxBytes));
    // A peer with an unknown value, or with none.
    for (Revision HeldRevision : {Revision(4), Revision()}) {
      CachedPatch Whole = History.patch(Newest, HeldRevision);
      CPPUNIT_ASSERT(Whole.m_Base == Revision());
      CPPUNIT_ASSERT_EQUAL(Newest.m_Value,
                           applyPatch("", *Whole.m_Patch, MaxBytes));
    }
    // Cached for one newest value, and created anew for the next.
    CPPUNIT_ASSERT(History.patch(Newest, Revision(3)).m_Patch == Small.m_Patch);
    History.addReplaced(Newest);
    Entry Next = at(6, configuration(1400, 800));
    CachedPatch SecondPatch = History.patch(Next, Revision(3));
    CPPUNIT_ASSERT_EQUAL(
        Next.m_Value,
        applyPatch(configuration(1400), *SecondPatch.m_Patch, MaxBytes));
  }

  void testHistoryIsBounded() {
    ValueHistory History;
    for (int I = 1; I <= 100; ++I)
      History.addReplaced(
          at(I, configuration(5500, static_cast<std::size_t>(I))));
    Entry Newest = at(101, configuration(5500, 101));
    std::size_t Known = 0;
    for (int I = 1; I <= 100; ++I)
      if (History.patch(Newest, Revision(I)).m_Base == Revision(I))
        ++Known;
    CPPUNIT_ASSERT(Known >= 1);
    CPPUNIT_ASSERT(Known <= ValueHistory::MaxVersions);
    CPPUNIT_ASSERT(Known * Newest.m_Value.size() <= ValueHistory::MaxBytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ValuePatchTest);
