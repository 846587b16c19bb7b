//===-- QuarantineVerbsTest.cpp - `quarantine list` and `quarantine lift` -===//
#include "Process.h"
#include "TestClient.h"

#include "LibConfig/InstanceSettings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fstream>

using namespace yardrill;
using namespace yardrill::tests;

static const char Content[] = "00000000000000010000000000000002";
static const char Other[] = "00000000000000030000000000000004";

class QuarantineVerbsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantineVerbsTest);
  CPPUNIT_TEST(testListsAndLifts);
  CPPUNIT_TEST(testUsageErrors);
  CPPUNIT_TEST_SUITE_END();

  std::filesystem::path m_Folder;
  std::filesystem::path m_Build =
      std::filesystem::read_symlink("/proc/self/exe")
          .parent_path()
          .parent_path();
  int m_StorePort = 0;
  std::unique_ptr<Process> m_Store;

  int run(std::vector<std::string> Arguments, std::string &Output) {
    std::string Log = m_Folder / "output";
    std::filesystem::remove(Log);
    Arguments.insert(Arguments.begin(), m_Build / "yardrill");
    Arguments.push_back("--config=" + (m_Folder / "local.toml").string());
    int Code = Process(Arguments, Log).wait();
    Output = config::readFile(Log);
    return Code;
  }
  static bool has(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }

public:
  void setUp() override {
    std::string Name =
        std::filesystem::temp_directory_path() / "yardrill-test-XXXXXX";
    CPPUNIT_ASSERT(mkdtemp(Name.data()));
    m_Folder = Name;
    m_StorePort = freePort();
    m_Store = std::make_unique<Process>(
        std::vector<std::string>{m_Build / "Tests" / "stand_in", "platform",
                                 "--port=" + std::to_string(m_StorePort)},
        m_Folder / "store.log");
    CPPUNIT_ASSERT(eventually([this] {
      return !controlStandIn(m_StorePort,
                             {{"put", boost::json::object{{"key", "op/config"},
                                                          {"value", "{}"}}}})
                  .empty();
    }));
    std::ofstream(m_Folder / "local.toml")
        << "nodeName = \"operator\"\nip = \"127.0.0.1\"\nzone = \"hall\"\n"
           "portRange = [7600, 7615]\nseeds = []\nbootstrap = false\n[listen]\n"
           "frontend = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\n"
           "control = \"127.0.0.1:3\"\n[limits]\nmaxFds = 100\n[bounds]\n"
           "graceS = 8\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 52\n"
           "[platform]\nreadsPerS = 2000\naddress = \"127.0.0.1:"
        << m_StorePort << "\"\n";
  }
  void tearDown() override {
    m_Store.reset();
    std::filesystem::remove_all(m_Folder);
  }

  void testListsAndLifts() {
    std::string Text = std::string(Content) + " a b c\n" + Other + " a b d-\n";
    controlStandIn(m_StorePort,
                   {{"put", boost::json::object{{"key", "yardrill/quarantine"},
                                                {"value", Text}}}});
    std::string Output;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Output, 0,
                                 run({"quarantine", "list"}, Output));
    CPPUNIT_ASSERT_MESSAGE(Output,
                           has(Output, "      3        0  quarantined"));
    CPPUNIT_ASSERT_MESSAGE(Output, has(Output, "      2        1  suspect"));
    CPPUNIT_ASSERT_EQUAL(0, run({"quarantine", "lift", Content}, Output));
    CPPUNIT_ASSERT_MESSAGE(Output, has(Output, "lifted"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Output, 0,
                                 run({"quarantine", "list"}, Output));
    CPPUNIT_ASSERT_MESSAGE(Output, has(Output, "      0        3  released"));
    CPPUNIT_ASSERT_MESSAGE(Output, has(Output, "      2        1  suspect"));
  }

  void testUsageErrors() {
    std::string Output;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Output, 0,
                                 run({"quarantine", "list"}, Output));
    CPPUNIT_ASSERT_EQUAL(2, run({"quarantine", "lift"}, Output));
    CPPUNIT_ASSERT_EQUAL(2, run({"quarantine", "lift", "x"}, Output));
    CPPUNIT_ASSERT_MESSAGE(Output, has(Output, "32 hex digits"));
    CPPUNIT_ASSERT_EQUAL(2, run({"quarantine", "lift", Content}, Output));
    CPPUNIT_ASSERT_MESSAGE(Output,
                           has(Output, "no observations of that content"));
    controlStandIn(m_StorePort,
                   {{"put", boost::json::object{{"key", "yardrill/quarantine"},
                                                {"value", "garbage"}}}});
    CPPUNIT_ASSERT_EQUAL(1, run({"quarantine", "list"}, Output));
    CPPUNIT_ASSERT_MESSAGE(Output, has(Output, "protocol: "));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineVerbsTest);
