//===-- QuotaDeploymentsTest.cpp - Quotas of all deployments under faults -===//
//
// Guards against exceeding a quota's tolerance while instances are isolated and
// the owners grant the whole limit to the others, and after restarts of owners
// that are in debt.
//
//===----------------------------------------------------------------------===//
#include "QuotaScenario.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

class QuotaDeploymentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaDeploymentsTest);
  CPPUNIT_TEST(testCutOffWhileOthersGrantAll);
  CPPUNIT_TEST(testRegressionScenarios);
  CPPUNIT_TEST(testStaleMemberList);
  CPPUNIT_TEST(testOnlyTheLargestRequests);
  CPPUNIT_TEST(testOwnersThatDoNotReachEachOther);
  CPPUNIT_TEST(testRandomScenarios);
  CPPUNIT_TEST(testSmallestLimitsUnderKillsInSeries);
  CPPUNIT_TEST_SUITE_END();

  static const QuotaDeployment &deployment(const std::string &Name) {
    for (const QuotaDeployment &Each : QuotaDeployment::all())
      if (Each.m_Name == Name)
        return Each;
    throw std::logic_error("unknown deployment: " + Name);
  }

  static QuotaScenario scenario(const std::string &Name, double Limit,
                                double Load, std::uint64_t Seed,
                                std::vector<QuotaFaultEvent> Events) {
    return {&deployment(Name), Limit, Load, false, std::move(Events), Seed};
  }
  static QuotaFaultEvent cut(int At, double Share, int Time) {
    return {milliseconds(At), QuotaFaultKind::Cut, Share, milliseconds(Time)};
  }
  static QuotaFaultEvent split(int At, double Share, int Time) {
    return {milliseconds(At), QuotaFaultKind::Split, Share, milliseconds(Time)};
  }
  static QuotaFaultEvent add(int At, double Share) {
    return {milliseconds(At), QuotaFaultKind::Add, Share, {}};
  }
  static QuotaFaultEvent kill(int At, double Share, int Time) {
    return {milliseconds(At), QuotaFaultKind::Kill, Share, milliseconds(Time)};
  }

  /// Simulates a scenario and checks its bound. \returns the share of the
  /// tolerance that was used.
  static double check(const QuotaScenario &Scenario) {
    QuotaScenarioResult Result = simulate(Scenario);
    if (!Result.isWithinTolerance())
      std::cerr << "\nof_tolerance=" << Result.usedTolerance() << " "
                << Scenario.describe();
    CPPUNIT_ASSERT_MESSAGE(Scenario.describe(), Result.isWithinTolerance());
    return Result.usedTolerance();
  }

public:
  void testCutOffWhileOthersGrantAll() {
    for (const QuotaDeployment &Each : QuotaDeployment::all())
      for (std::uint64_t Seed = 1; Seed <= 3; ++Seed)
        check(scenario(Each.m_Name, Each.m_MaxLimit, 5, Seed,
                       {cut(9000, 0.35, 8000)}));
  }

  void testRegressionScenarios() {
    check(scenario("simulations-grown", 961975, 5.36134, 1000061,
                   {split(6318, 0.426183, 5794), split(9734, 0.252555, 7549),
                    cut(16420, 0.229914, 3488), cut(10308, 0.349382, 4716),
                    add(13494, 0.256099), cut(17550, 0.0615314, 4699)}));
    check(scenario("games", 92659.6, 5.36134, 2516265689700432462,
                   {split(6318, 0.426183, 5794), split(9734, 0.252555, 7549),
                    cut(10308, 0.349382, 4716), split(13036, 0.307435, 7129)}));
    check(scenario("tickets", 137670, 5.41783, 6472927700900931384,
                   {kill(18832, 0.425072, 684), split(17493, 0.352812, 5256),
                    cut(11737, 0.277992, 7914), kill(12120, 0.671708, 678),
                    kill(10435, 1, 1325)}));
    check(scenario("target", 1.47532e+06, 4.88225, 2516265689700432462,
                   {cut(11784, 0.324482, 8673),
                    split(14429, 0.092412, 3606),
                    split(7071, 0.0834915, 5834),
                    split(7238, 0.287662, 7726),
                    {milliseconds(7829), QuotaFaultKind::Freeze, 0.144767,
                     milliseconds(3884)}}));
  }

  /// Guards against two owners of the same share: instances are added while an
  /// owner is cut off from the others and from the store.
  void testStaleMemberList() {
    check(scenario("simulations", 263380, 5.41783, 4261951405298700608,
                   {cut(11956, 0.146528, 3679), cut(16273, 0.208981, 5390),
                    cut(11737, 0.277992, 7914), add(12306, 0.40965),
                    add(13961, 0.439236), kill(10435, 1, 1325)}));
    check(scenario("tickets", 107844, 4.33328, 4261951405298700608,
                   {add(12065, 0.444747),
                    add(15926, 0.39114),
                    {milliseconds(8107), QuotaFaultKind::Freeze, 0.148862,
                     milliseconds(2428)},
                    cut(10680, 0.325583, 6791),
                    split(10830, 0.152118, 4696)}));
    for (std::uint64_t Seed = 1; Seed <= 10; ++Seed)
      check(scenario("games", 300000, 6, Seed,
                     {cut(9000, 0.4, 9000), add(9500, 1)}));
  }

  /// Guards against debts that each owner keeps for itself and loses when it is
  /// killed. Each of these requests is a third of the tolerance.
  void testOnlyTheLargestRequests() {
    QuotaScenario Regression =
        scenario("simulations", 26381, 4.40108, 3000088,
                 {kill(7599, 0.727954, 1854),
                  {milliseconds(17558), QuotaFaultKind::Freeze, 0.0684945,
                   milliseconds(3645)},
                  kill(16227, 0.633581, 1082),
                  add(14209, 0.376227),
                  add(12301, 0.447633)});
    Regression.m_HasOnlyLargestRequests = true;
    check(Regression);
    for (const QuotaDeployment &Each : QuotaDeployment::all())
      for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
        QuotaScenario Scenario =
            scenario(Each.m_Name, Each.m_MinLimit, 5, Seed,
                     {kill(9000, 0.7, 900), kill(12500, 0.7, 900)});
        Scenario.m_HasOnlyLargestRequests = true;
        check(Scenario);
      }
  }

  /// Guards against a debt of a largest request at each owner, while they don't
  /// reach each other, and against isolated instances that let several such
  /// requests in by chance.
  void testOwnersThatDoNotReachEachOther() {
    auto Freeze = [](int At, double Share, int Time) {
      return QuotaFaultEvent{milliseconds(At), QuotaFaultKind::Freeze, Share,
                             milliseconds(Time)};
    };
    std::vector<QuotaScenario> Scenarios{
        scenario("simulations", 41419.4, 4.79577, 5000147,
                 {cut(16236, 0.303342, 5138), split(18502, 0.226169, 5044),
                  split(12258, 0.467871, 6986), split(6703, 0.439707, 5572),
                  Freeze(14795, 0.155695, 2841), add(7521, 0.438403)}),
        scenario("simulations", 19845.3, 3.72096, 1000035,
                 {split(6323, 0.478075, 6884), Freeze(11834, 0.113288, 2388),
                  cut(11342, 0.148358, 6987), Freeze(9837, 0.179101, 545),
                  kill(10183, 1, 638)}),
        scenario("simulations", 20393.8, 3.54221, 2000218,
                 {add(14843, 0.435787), kill(9043, 0.818743, 1142),
                  kill(16835, 0.24802, 1250), split(6690, 0.46534, 5780),
                  cut(10568, 0.292142, 6976), kill(6697, 0.729698, 618)})};
    for (QuotaScenario &Each : Scenarios) {
      Each.m_HasOnlyLargestRequests = true;
      check(Each);
    }
  }

  /// Random limits, from half of the smallest to the largest, with all kinds of
  /// faults, single and combined.
  void testRandomScenarios() {
    constexpr std::uint64_t Seeds = 12;
    for (const QuotaDeployment &Each : QuotaDeployment::all()) {
      double MaxUsed = 0;
      for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
        MaxUsed = std::max(MaxUsed, check(QuotaScenario::random(Each, Seed)));
      std::cerr << "\n" << Each.m_Name << " most_of_tolerance=" << MaxUsed;
    }
  }

  /// Guards against credit from repeated restarts, which lose earlier grants.
  void testSmallestLimitsUnderKillsInSeries() {
    for (const QuotaDeployment &Each : QuotaDeployment::all())
      for (std::uint64_t Seed = 1; Seed <= 4; ++Seed) {
        std::vector<QuotaFaultEvent> Kills;
        for (int At = 8000; At <= 15000; At += 1800)
          Kills.push_back(kill(At, Seed % 2 == 0 ? 1 : 0.55, 600));
        check(scenario(Each.m_Name, Each.m_MinLimit, 5, Seed, Kills));
      }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaDeploymentsTest);
