#include "DeploymentSettings.h"

#include "LibConfig/Diagnostic.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::platform;

static const char Example[] = R"(nodeName = "edge-edin-hall-a-1"
ip = "10.1.0.25"
zone = "edin-hall-a"
portRange = [7600,7615]
seeds = ["10.1.0.25:8229","10.2.0.17:8229"]
bootstrap = true
somethingNew = [1, 2]
[listen]
frontend = "10.1.0.25:8221"
readiness = "10.1.0.25:8224"
[limits]
maxFds = 4100
memoryMb = 88
[bounds]
retryRatio = 0.2
retryWindowS = 10
retrySlack = 52
graceS = 8
[platform]
address = "10.200.1.7:8225"
readsPerS = 2000
)";

class DeploymentSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeploymentSettingsTest);
  CPPUNIT_TEST(testReadsTheExample);
  CPPUNIT_TEST(testLinkRateIsValidated);
  CPPUNIT_TEST(testReadsRegions);
  CPPUNIT_TEST(testNamesEveryFault);
  CPPUNIT_TEST(testInvalidTomlReportsLine);
  CPPUNIT_TEST_SUITE_END();

public:
  void testReadsTheExample() {
    auto Read = DeploymentSettings::parse(Example, "local.toml");
    const auto &Gateway = Read.m_Gateway;
    CPPUNIT_ASSERT_EQUAL(std::string("edge-edin-hall-a-1"),
                         Gateway.m_Name.value());
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.25:7600"),
                         Gateway.m_PeerAddress.toString());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Gateway.m_Seeds.size());
    CPPUNIT_ASSERT_EQUAL(std::string("10.2.0.17:7600"),
                         Gateway.m_Seeds[1].toString());
    CPPUNIT_ASSERT(Gateway.m_IsFirstStart);
    CPPUNIT_ASSERT(Gateway.m_StopGrace == std::chrono::seconds(8));
    CPPUNIT_ASSERT_EQUAL(0.2, Gateway.m_Retries.m_Ratio);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Read.m_Store.m_Addresses.size());
    CPPUNIT_ASSERT_EQUAL(1.25e6, Gateway.m_LinkBytesPerSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(22000000), Gateway.m_MaxBodyBytes);
  }

  void testReadsRegions() {
    std::string Text = Example;
    auto Read = DeploymentSettings::parse(
        Text + "[zones]\nedin-hall-a = \"scot-central\"\n", "local.toml");
    CPPUNIT_ASSERT(Read.m_Gateway.m_Regions.at(core::DataHallName(
                       "edin-hall-a")) == core::RegionName("scot-central"));
    CPPUNIT_ASSERT_THROW(DeploymentSettings::parse(
                             Text + "[zones]\nedin-hall-a = 1\n", "local.toml"),
                         config::DocumentError);
  }

  void testLinkRateIsValidated() {
    auto ParseWith = [](const std::string &Line) {
      std::string Text = Example;
      Text.insert(Text.find("maxFds"), Line + "\n");
      return DeploymentSettings::parse(Text, "local.toml");
    };
    CPPUNIT_ASSERT_EQUAL(
        25e6, ParseWith("linkMbps = 200.0").m_Gateway.m_LinkBytesPerSecond);
    CPPUNIT_ASSERT_EQUAL(
        1.25e8, ParseWith("linkMbps = 1000").m_Gateway.m_LinkBytesPerSecond);
    for (const char *Wrong :
         {"linkMbps = 0", "linkMbps = -1.0", "linkMbps = \"fast\""})
      CPPUNIT_ASSERT_THROW(ParseWith(Wrong), config::DocumentError);
  }

  void testNamesEveryFault() {
    std::string Text = Example;
    Text.replace(Text.find("10.1.0.25:8221"), 14, "nowhere");
    Text.replace(Text.find("graceS = 8"), 10, "graceS = \"8\"");
    Text.replace(Text.find("portRange = [7600,7615]"), 23, "");
    try {
      DeploymentSettings::parse(Text, "local.toml");
      CPPUNIT_FAIL("invalid settings were accepted");
    } catch (const config::DocumentError &Failure) {
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), Failure.diagnostics().size());
      CPPUNIT_ASSERT(Failure.kind() == core::ErrorKind::Settings);
    }
  }

  void testInvalidTomlReportsLine() {
    try {
      DeploymentSettings::parse("a = 1\na = 2\n", "local.toml");
      CPPUNIT_FAIL("invalid settings were accepted");
    } catch (const config::DocumentError &Failure) {
      CPPUNIT_ASSERT_EQUAL(2, Failure.diagnostics().front().m_Line);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeploymentSettingsTest);
