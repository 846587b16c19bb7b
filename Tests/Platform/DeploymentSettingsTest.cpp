#include "DeploymentSettings.h"

#include "LibConfig/Diagnostic.h"

#include <algorithm>
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
  CPPUNIT_TEST(testOverloadSwitches);
  CPPUNIT_TEST(testInvalidOverloadSwitches);
  CPPUNIT_TEST(testOptionalExample);
  CPPUNIT_TEST_SUITE_END();

  static std::string switchesOff(const std::string &Text) {
    return DeploymentSettings::parse(Text, "local.toml")
        .m_Gateway.m_Overload.switchesOff();
  }

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

  // An operator turns one decision off: the others must stay on, and without
  // the table all are on.
  void testOverloadSwitches() {
    std::string Text = Example;
    CPPUNIT_ASSERT_EQUAL(std::string(), switchesOff(Text));
    CPPUNIT_ASSERT_EQUAL(std::string(), switchesOff(Text + "[overload]\n"));
    auto Names = routing::OverloadSettings::switchNames();
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), Names.size());
    for (const std::string &Name : Names)
      CPPUNIT_ASSERT_EQUAL(
          Name, switchesOff(Text + "[overload]\n" + Name + " = false\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("slot_lending"),
                         switchesOff(Text + "[overload]\nslot_lending = false\n"
                                            "slot_handover = true\n"));
  }

  // A misspelled switch or a value like "off" must not leave the decision on
  // unnoticed.
  void testInvalidOverloadSwitches() {
    std::string Text = Example;
    try {
      DeploymentSettings::parse(Text + "[overload]\nslot_handovers = false\n"
                                       "slot_lending = \"off\"\n"
                                       "wait_prediction = 0\n",
                                "local.toml");
      CPPUNIT_FAIL("invalid switches were accepted");
    } catch (const config::DocumentError &Failure) {
      const auto &Found = Failure.diagnostics();
      auto Lines = std::count(Text.begin(), Text.end(), '\n');
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), Found.size());
      CPPUNIT_ASSERT_EQUAL(
          "local.toml:" + std::to_string(Lines + 2) +
              ": overload.slot_handovers: is an unknown key; "
              "allowed: tier_concurrency, slot_handover, "
              "wait_prediction, return_schedule, account_fairness, "
              "slot_lending",
          Found[0].toString("local.toml"));
      CPPUNIT_ASSERT_EQUAL("local.toml:" + std::to_string(Lines + 3) +
                               ": overload.slot_lending: is not a boolean; "
                               "allowed: true or false",
                           Found[1].toString("local.toml"));
      CPPUNIT_ASSERT_EQUAL(std::string("overload.wait_prediction"),
                           Found[2].m_Key);
    }
    CPPUNIT_ASSERT_THROW(switchesOff("overload = false\n" + Text),
                         config::DocumentError);
  }

  // What operators copy from the example must be accepted, and name every
  // switch with its default.
  void testOptionalExample() {
    std::string Optional = DeploymentSettings::optionalExample();
    std::size_t TableStart = Optional.find("[overload]");
    CPPUNIT_ASSERT(TableStart != std::string::npos);
    std::string Text =
        Optional.substr(0, TableStart) + Example + Optional.substr(TableStart);
    auto Read = DeploymentSettings::parse(Text, "local.toml");
    CPPUNIT_ASSERT(
        Read.m_Gateway.m_PeerKey !=
        DeploymentSettings::parse(Example, "local.toml").m_Gateway.m_PeerKey);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         Read.m_Gateway.m_Overload.switchesOff());
    std::string AllOff;
    for (const std::string &Name : routing::OverloadSettings::switchNames()) {
      std::size_t Value = Text.find("\n" + Name + " = true");
      CPPUNIT_ASSERT_MESSAGE(Name, Value != std::string::npos);
      Text.replace(Value + Name.size() + 4, 4, "false");
      AllOff += (AllOff.empty() ? "" : ",") + Name;
    }
    CPPUNIT_ASSERT_EQUAL(AllOff, switchesOff(Text));
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
