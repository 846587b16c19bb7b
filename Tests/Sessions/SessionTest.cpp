//===-- SessionTest.cpp - Golden files of HTTP sessions -------------------===//
//
// Guards against unintended changes of responses. Runs each *.session.yaml of
// Tests/Sessions against real processes and compares the transcript, in which
// request ids and Retry-After are masked, with the golden file. To accept a new
// transcript, run with YARDRILL_UPDATE_GOLDEN=1 and review the difference.
//
//===----------------------------------------------------------------------===//
#include "Fleet.h"

#include "LibConfig/InstanceSettings.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <regex>
#include <yaml-cpp/yaml.h>

using namespace yardrill;
using namespace yardrill::tests;

namespace {

/// Runs the steps of a session file against a fleet and writes the transcript.
class SessionPlayer {
public:
  explicit SessionPlayer(const YAML::Node &Session)
      : m_Steps(Session["steps"]), m_Fleet(optionsOf(Session["fleet"])) {}

  std::string play() {
    CPPUNIT_ASSERT(m_Fleet.waitUntilServing());
    for (const auto &Step : m_Steps)
      playStep(Step);
    return m_Transcript;
  }

private:
  static Fleet::Options optionsOf(const YAML::Node &Node) {
    Fleet::Options Out;
    Out.m_Instances = Node["instances"].as<int>();
    Out.m_Slots = Node["places"].as<int>(8);
    return Out;
  }

  int portOf(const std::string &StandIn) {
    if (StandIn == "platform")
      return m_Fleet.platformPort();
    return StandIn == "engine" ? m_Fleet.enginePort(0)
                               : m_Fleet.applicationPort();
  }

  void playStep(const YAML::Node &Step) {
    m_Transcript += "== " + Step["name"].as<std::string>() + "\n";
    if (Step["control"])
      controlStandIn(
          portOf(Step["control"].as<std::string>()),
          boost::json::parse(Step["settings"].as<std::string>()).as_object());
    if (Step["kill"])
      m_Fleet.at(Step["kill"].as<int>()).m_Process.kill();
    if (Step["ticket_from"])
      m_Ticket =
          issueTicket(m_Fleet.at(Step["ticket_from"].as<int>()).m_CallerPort);
    if (Step["path"])
      send(Step);
  }

  void send(const YAML::Node &Step) {
    http::RequestMessage Request =
        applicationRequest("", "session", Step["body"].as<std::string>(""));
    Request.m_Method = Step["method"].as<std::string>("POST");
    Request.m_Target = Step["path"].as<std::string>();
    for (const auto &Header : Step["headers"]) {
      auto Value = Header.second.as<std::string>();
      Request.m_Headers.set(Header.first.as<std::string>(),
                            Value == "$ticket" ? m_Ticket : Value);
    }
    Reply Response =
        call(m_Fleet.at(Step["through"].as<int>(0)).m_CallerPort, Request);
    m_Transcript += std::to_string(Response.m_Status) + "\n";
    for (const http::Header &H : Response.m_Headers)
      m_Transcript += H.m_Name + ": " + maskedValue(H) + "\n";
    m_Transcript +=
        "\n" + std::regex_replace(Response.m_Body, m_RequestId, "<request-id>");
    if (!Response.m_Body.empty() && Response.m_Body.back() != '\n')
      m_Transcript += "\n";
    if (!Response.isComplete())
      m_Transcript += "(broken off)\n";
  }

  /// Returns the value of a header without what differs between runs.
  std::string maskedValue(const http::Header &H) const {
    if (H.m_Name == "Retry-After")
      return "<seconds>";
    return std::regex_replace(H.m_Value, m_RequestId, "<request-id>");
  }

  std::regex m_RequestId{"[0-9a-f]{16}-[0-9]+"};
  YAML::Node m_Steps;
  Fleet m_Fleet;
  std::string m_Ticket;
  std::string m_Transcript;
};

} // namespace

class SessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionTest);
  CPPUNIT_TEST(testAllSessions);
  CPPUNIT_TEST_SUITE_END();

public:
  void testAllSessions() {
    const char *Source = std::getenv("YARDRILL_SOURCE");
    std::filesystem::path Folder =
        std::filesystem::path(Source ? Source : ".") / "Tests/Sessions";
    int Count = 0;
    for (const auto &File : std::filesystem::directory_iterator(Folder)) {
      std::string Name = File.path();
      if (Name.find(".session.yaml") == std::string::npos)
        continue;
      ++Count;
      std::string Actual = SessionPlayer(YAML::LoadFile(Name)).play();
      std::string Golden =
          Name.substr(0, Name.rfind(".session.yaml")) + ".golden";
      if (std::getenv("YARDRILL_UPDATE_GOLDEN"))
        std::ofstream(Golden) << Actual;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, config::readFile(Golden), Actual);
    }
    CPPUNIT_ASSERT(Count > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionTest);
