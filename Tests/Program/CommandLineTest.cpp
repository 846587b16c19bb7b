//===-- CommandLineTest.cpp - Every wrong call gets a typed error ---------===//
#include "Process.h"

#include "LibConfig/InstanceSettings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fstream>

using namespace yardrill;
using namespace yardrill::tests;

class CommandLineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandLineTest);
  CPPUNIT_TEST(testWrongCalls);
  CPPUNIT_TEST(testRightCalls);
  CPPUNIT_TEST(testPortInUse);
  CPPUNIT_TEST_SUITE_END();

  std::filesystem::path m_Folder;

  int run(const std::vector<std::string> &Arguments, std::string &Output) {
    static const auto Build = std::filesystem::read_symlink("/proc/self/exe")
                                  .parent_path()
                                  .parent_path();
    std::string Log = m_Folder / "output";
    std::filesystem::remove(Log);
    std::vector<std::string> Command = {Build / "yardrill"};
    Command.insert(Command.end(), Arguments.begin(), Arguments.end());
    int Code = Process(Command, Log).wait();
    Output = config::readFile(Log);
    return Code;
  }

  std::string file(const std::string &Name, const std::string &Text) {
    std::ofstream(m_Folder / Name) << Text;
    return m_Folder / Name;
  }

public:
  void setUp() override {
    std::string Name =
        std::filesystem::temp_directory_path() / "yardrill-test-XXXXXX";
    CPPUNIT_ASSERT(mkdtemp(Name.data()));
    m_Folder = Name;
  }
  void tearDown() override { std::filesystem::remove_all(m_Folder); }

  void testWrongCalls() {
    struct Case {
      std::vector<std::string> m_Arguments;
      int m_Code;
      std::string m_Text;
    };
    std::string Bad = file("bad.yaml", "instance: {nmae: x}\n");
    const Case Cases[] = {
        {{}, 2, "usage: no verb"},
        {{"bogus"}, 2, "no verb \"bogus\""},
        {{"serve"}, 2, "serve needs --config=FILE"},
        {{"serve", "--confg=x"}, 2, "serve has no flag --confg=x"},
        {{"serve", "--config=/none"}, 2, "settings: cannot read file /none"},
        {{"serve", "--config=" + Bad}, 2, "instance.nmae: is an unknown key"},
        {{"serve", "extra"}, 2, "takes 0 arguments"},
        {{"check", "--config=" + Bad}, 2, "instance.name: is missing"},
        {{"check", "--fleet=" + Bad}, 2, "tiers: names no tier"},
        {{"check", "--deployment=/none"}, 2, "settings: cannot read file"},
        {{"check", "--deployment=" + Bad}, 2, "allowed: TOML"},
        {{"gateway", "--config=/none"}, 2, "settings: cannot read file"},
        {{"gateway", "--config=" + file("e.toml", "ip = 7\n")},
         2,
         "nodeName: missing or not a text"},
        {{"replay"}, 2, "takes 1 arguments"},
        {{"replay", "/none"}, 2, "trace: cannot read /none"},
        {{"replay", file("t", "{\"at\":1,\"event\":{}}\n")}, 2, "trace: "},
        {{"config", "get"}, 2, "--operator must be an IP number"},
        {{"config", "get", "--operator=127.0.0.1:1"}, 1, "unavailable: "},
        {{"config", "publish"}, 2, "needs --fleet=FILE and --base"},
        {{"config", "publish", "--base=x"}, 2, "--base can't be \"x\""},
        {{"help", "bogus"}, 2, "no verb \"bogus\""},
    };
    for (const Case &Each : Cases) {
      std::string Output;
      int Code = run(Each.m_Arguments, Output);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Output, Each.m_Code, Code);
      CPPUNIT_ASSERT_MESSAGE(Output,
                             Output.find(Each.m_Text) != std::string::npos);
    }
  }

  void testRightCalls() {
    std::string Output;
    CPPUNIT_ASSERT_EQUAL(0, run({"help"}, Output));
    for (const char *Verb :
         {"serve", "gateway", "check", "config publish", "replay"})
      CPPUNIT_ASSERT(Output.find(Verb) != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(0, run({"version"}, Output));
    CPPUNIT_ASSERT_EQUAL(0, run({"check", "--example"}, Output));
    std::string Example = file("example.yaml", Output);
    CPPUNIT_ASSERT_EQUAL(0, run({"check", "--config=" + Example}, Output));
    CPPUNIT_ASSERT_EQUAL(0, run({"check", "--fleet_example"}, Output));
    std::string Fleet = file("fleet.yaml", Output);
    CPPUNIT_ASSERT_EQUAL(0, run({"check", "--fleet=" + Fleet}, Output));
  }

  void testPortInUse() {
    int Port = freePort();
    int Other = freePort();
    // Two addresses of one instance on the same port: the second fails.
    std::string Settings =
        file("same.yaml",
             "instance: {name: a, data_hall: b, caller_address: 127.0.0.1:" +
                 std::to_string(Port) +
                 ", operator_address: 127.0.0.1:" + std::to_string(Port) +
                 ", peer_address: 127.0.0.1:" + std::to_string(Other) +
                 ", operator_token: t}\nplatform: {addresses: [127.0.0.1:1]}\n"
                 "peers: {key_hex: 000102030405060708090a0b0c0d0e0f}\n");
    std::string Output;
    CPPUNIT_ASSERT_EQUAL(1, run({"serve", "--config=" + Settings}, Output));
    CPPUNIT_ASSERT(Output.find("address-in-use: 127.0.0.1:" +
                               std::to_string(Port)) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandLineTest);
