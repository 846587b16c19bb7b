//===-- ActiveConfigurationTest.cpp - Versions never go back --------------===//
#include "LibInstance/ActiveConfiguration.h"

#include "LibCore/Error.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::instance;

class ActiveConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ActiveConfigurationTest);
  CPPUNIT_TEST(testRejectsVersionsThatAreNotNewer);
  CPPUNIT_TEST(testReadersDoNotWaitForAnOffer);
  CPPUNIT_TEST(testUnreadableConfigurationIsRejected);
  CPPUNIT_TEST(testEnvelopeKeepsLatestChangeIds);
  CPPUNIT_TEST_SUITE_END();

  ActiveConfiguration m_Active;

  static ConfigurationEnvelope envelope(std::uint64_t Version) {
    ConfigurationEnvelope Out;
    Out.m_Version = core::ConfigurationVersion(Version);
    Out.m_Text = config::FleetConfiguration::example();
    return Out;
  }

public:
  void testRejectsVersionsThatAreNotNewer() {
    CPPUNIT_ASSERT(m_Active.offer(envelope(3)));
    for (std::uint64_t Old : {1, 2, 3})
      CPPUNIT_ASSERT(!m_Active.offer(envelope(Old)));
    CPPUNIT_ASSERT(m_Active.offer(envelope(4)));
    CPPUNIT_ASSERT(m_Active.version() == core::ConfigurationVersion(4));
  }

  void testReadersDoNotWaitForAnOffer() {
    // Deadlocks if offer() holds the readers' lock while it notifies.
    core::ConfigurationVersion Seen;
    m_Active.subscribe([&](const config::ConfigurationHandle &) {
      Seen = m_Active.current()->version();
    });
    m_Active.offer(envelope(5));
    CPPUNIT_ASSERT(Seen == core::ConfigurationVersion(5));
  }

  void testUnreadableConfigurationIsRejected() {
    m_Active.offer(envelope(1));
    ConfigurationEnvelope Bad = envelope(2);
    Bad.m_Text = "tears: []";
    CPPUNIT_ASSERT(!m_Active.offer(Bad));
    CPPUNIT_ASSERT(m_Active.version() == core::ConfigurationVersion(1));
  }

  void testEnvelopeKeepsLatestChangeIds() {
    ConfigurationEnvelope Out = envelope(9);
    for (int I = 0; I < 100; ++I)
      Out.m_ChangeIds.push_back("change \"" + std::to_string(I) + "\"");
    auto Read = ConfigurationEnvelope::parse(Out.toJson());
    CPPUNIT_ASSERT(Read.m_Version == Out.m_Version);
    CPPUNIT_ASSERT_EQUAL(Out.m_Text, Read.m_Text);
    CPPUNIT_ASSERT(Read.hasChange("change \"99\""));
    CPPUNIT_ASSERT(Read.hasChange("change \"68\""));
    CPPUNIT_ASSERT(!Read.hasChange("change \"67\""));
    for (const char *Bad : {"", "{}", "[]", "{\"version\":\"x\"}"})
      CPPUNIT_ASSERT_THROW(ConfigurationEnvelope::parse(Bad), core::Error);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ActiveConfigurationTest);
