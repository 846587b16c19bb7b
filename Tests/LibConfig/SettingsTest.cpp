//===-- SettingsTest.cpp - Validation of settings and configurations ------===//
#include "LibConfig/FleetConfiguration.h"
#include "LibConfig/InstanceSettings.h"
#include "LibConfig/YamlReader.h"

#include <cctype>
#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::config;

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(testExamplesAreValid);
  CPPUNIT_TEST(testExampleMatchesDefaults);
  CPPUNIT_TEST(testEveryErrorIsReported);
  CPPUNIT_TEST(testFleetConfigurationErrors);
  CPPUNIT_TEST(testKeyDigestMayHaveUpperCaseDigits);
  CPPUNIT_TEST(testInvalidYaml);
  CPPUNIT_TEST(testDuplicateKeys);
  CPPUNIT_TEST(testUnreadableFiles);
  CPPUNIT_TEST(testLongestRoutePrefixWins);
  CPPUNIT_TEST_SUITE_END();

  static std::string replaced(std::string Text, const std::string &Old,
                              const std::string &New) {
    auto At = Text.find(Old);
    CPPUNIT_ASSERT(At != std::string::npos);
    return Text.replace(At, Old.size(), New);
  }

  template <class Function>
  static std::vector<std::string> diagnosticsOf(Function &&Parse) {
    std::vector<std::string> Out;
    try {
      Parse();
    } catch (const DocumentError &Failure) {
      for (const Diagnostic &Each : Failure.diagnostics())
        Out.push_back(Each.toString(Failure.file()));
    }
    return Out;
  }

public:
  void testExamplesAreValid() {
    auto Settings = InstanceSettings::parse(InstanceSettings::example(), "e");
    CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), Settings.m_Name.value());
    CPPUNIT_ASSERT_EQUAL(std::uint16_t(8080), Settings.m_CallerAddress.m_Port);
    auto Fleet = FleetConfiguration::parse(FleetConfiguration::example(), "f",
                                           core::ConfigurationVersion(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Fleet->tiers().size());
    CPPUNIT_ASSERT(Fleet->findPoolForModel("assistant-1"));
    CPPUNIT_ASSERT(!Fleet->findPoolForModel("other"));
  }

  void testExampleMatchesDefaults() {
    auto Full = InstanceSettings::parse(InstanceSettings::example(), "e");
    auto Bare = InstanceSettings::parse(
        "instance: {name: a, data_hall: b, caller_address: 127.0.0.1:1, "
        "operator_address: 127.0.0.1:2, peer_address: 127.0.0.1:3, "
        "operator_token: t}\n"
        "platform: {addresses: [127.0.0.1:4]}\n"
        "peers: {key_hex: 000102030405060708090a0b0c0d0e0f}\n",
        "bare");
    CPPUNIT_ASSERT_EQUAL(Full.m_Callers.m_HeaderBytes,
                         Bare.m_Callers.m_HeaderBytes);
    CPPUNIT_ASSERT_EQUAL(Full.m_Callers.m_BodyBytes,
                         Bare.m_Callers.m_BodyBytes);
    CPPUNIT_ASSERT_EQUAL(Full.m_Callers.m_OpenConnections,
                         Bare.m_Callers.m_OpenConnections);
    CPPUNIT_ASSERT(Full.m_Callers.m_ReadTimeout ==
                   Bare.m_Callers.m_ReadTimeout);
    CPPUNIT_ASSERT(Full.m_Targets.m_SilenceTimeout ==
                   Bare.m_Targets.m_SilenceTimeout);
    CPPUNIT_ASSERT_EQUAL(Full.m_Identities.m_Identities,
                         Bare.m_Identities.m_Identities);
    CPPUNIT_ASSERT(Full.m_Identities.m_Retention ==
                   Bare.m_Identities.m_Retention);
    CPPUNIT_ASSERT_EQUAL(Full.m_Platform.m_CallsPerSecond,
                         Bare.m_Platform.m_CallsPerSecond);
    CPPUNIT_ASSERT(Full.m_Peers.m_HeartbeatPeriod ==
                   Bare.m_Peers.m_HeartbeatPeriod);
    CPPUNIT_ASSERT_EQUAL(Full.m_QueueCapacity, Bare.m_QueueCapacity);
  }

  void testEveryErrorIsReported() {
    std::string Text = InstanceSettings::example();
    Text = replaced(Text, "name: entry-1", "nmae: entry-1");
    Text = replaced(Text, "127.0.0.1:8080", "localhost:8080");
    Text = replaced(Text, "body_bytes: 8388608", "body_bytes: lots");
    Text = replaced(Text, "key_hex: 000102030405060708090a0b0c0d0e0f",
                    "key_hex: 0001");
    auto Diagnostics =
        diagnosticsOf([&] { InstanceSettings::parse(Text, "entry.yaml"); });
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), Diagnostics.size());
    auto Has = [&](const std::string &Start) {
      for (const std::string &Each : Diagnostics)
        if (Each.compare(0, Start.size(), Start) == 0)
          return Each.find("; allowed: ") != std::string::npos;
      return false;
    };
    CPPUNIT_ASSERT(Has("entry.yaml:4: instance.name: is missing"));
    CPPUNIT_ASSERT(Has("entry.yaml:4: instance.nmae: is an unknown key"));
    CPPUNIT_ASSERT(
        Has("entry.yaml:6: instance.caller_address: is \"localhost:8080\""));
    CPPUNIT_ASSERT(Has("entry.yaml:16: callers.body_bytes: is \"lots\""));
    CPPUNIT_ASSERT(Has("entry.yaml:43: peers.key_hex: is too short"));
  }

  void testFleetConfigurationErrors() {
    std::string Text = FleetConfiguration::example();
    Text = replaced(Text, "default_tier: assist", "default_tier: gold");
    Text = replaced(Text, "name: seats-1", "name: edinburgh-1");
    Text = replaced(Text, "prefix: /transfers", "prefix: transfers");
    Text = replaced(Text, "kept_places: 0", "kept_places: 8");
    Text = replaced(Text, "name: batch", "name: \"a b\"");
    auto Diagnostics = diagnosticsOf([&] {
      FleetConfiguration::parse(Text, "f", core::ConfigurationVersion(1));
    });
    // The undefined tiers `gold` and `batch` are two errors of the account.
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), Diagnostics.size());
  }

  /// Its callers would be refused, although the configuration was accepted.
  void testKeyDigestMayHaveUpperCaseDigits() {
    const std::string Digest =
        "7d1a5cfd5ff1bb78b02b0b0ea6ad5e5ed3f2b5d2cf5dbd7a3c6b0f3b3ff2ab11";
    std::string Upper = Digest;
    for (char &Each : Upper)
      Each = static_cast<char>(std::toupper(Each));
    auto Fleet = FleetConfiguration::parse(
        replaced(FleetConfiguration::example(), Digest, Upper), "f",
        core::ConfigurationVersion(1));
    CPPUNIT_ASSERT(Fleet->findAccountByKey(Digest));
  }

  void testInvalidYaml() {
    for (const char *Text : {"a: [", "\t", "- a\n- b", "plain"})
      CPPUNIT_ASSERT_THROW(InstanceSettings::parse(Text, "x"), DocumentError);
  }

  void testDuplicateKeys() {
    std::string Text =
        replaced(InstanceSettings::example(), "  data_hall: edinburgh\n",
                 "  data_hall: edinburgh\n  name: entry-2\n");
    auto Diagnostics =
        diagnosticsOf([&] { InstanceSettings::parse(Text, "twice"); });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Diagnostics.size());
    CPPUNIT_ASSERT(Diagnostics[0].find("instance.name") != std::string::npos);
    CPPUNIT_ASSERT(Diagnostics[0].find("given twice") != std::string::npos);
    std::string All = InstanceSettings::example();
    CPPUNIT_ASSERT(!diagnosticsOf([&] {
                      InstanceSettings::parse(All + All, "t");
                    }).empty());
  }

  void testUnreadableFiles() {
    auto MessageOf = [](const std::string &File) -> std::string {
      try {
        readFile(File);
      } catch (const core::Error &Failure) {
        return Failure.what();
      }
      return "";
    };
    CPPUNIT_ASSERT(MessageOf("/dev/null").find("is empty") !=
                   std::string::npos);
    CPPUNIT_ASSERT(MessageOf("/nonexistent").find("cannot read") !=
                   std::string::npos);
  }

  void testLongestRoutePrefixWins() {
    Pool Seats;
    Seats.m_Routes = {{"/a", true}, {"/a/b", false}};
    CPPUNIT_ASSERT(!Seats.findRoute("/x"));
    CPPUNIT_ASSERT(Seats.findRoute("/a/c")->m_IsIdempotent);
    CPPUNIT_ASSERT(!Seats.findRoute("/a/b/c")->m_IsIdempotent);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
