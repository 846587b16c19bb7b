#include "CommandLine.h"
#include "DeploymentSettings.h"

#include "LibConfig/FleetConfiguration.h"
#include "LibConfig/InstanceSettings.h"
#include "LibCore/Error.h"
#include "LibPolicy/PolicyProgram.h"

#include <gflags/gflags.h>
#include <iostream>

DECLARE_string(config);
DEFINE_string(fleet, "", "fleet configuration file");
DEFINE_string(deployment, "", "settings file that the platform provides");
DEFINE_bool(example, false, "print a commented settings file");
DEFINE_bool(fleet_example, false, "print a commented fleet configuration");
DEFINE_bool(gateway_example, false,
            "print the optional settings of a gateway, commented");

namespace yardrill::program {

static void checkFleet(const std::string &File) {
  auto Fleet =
      config::FleetConfiguration::parse(config::readFile(File), File, {});
  if (!Fleet->policy().empty())
    policy::PolicyProgram::check(Fleet->policy());
}

int runCheck(const std::vector<std::string> &) {
  if (FLAGS_example) {
    std::cout << config::InstanceSettings::example();
    return ExitSuccess;
  }
  if (FLAGS_fleet_example) {
    std::cout << config::FleetConfiguration::example();
    return ExitSuccess;
  }
  if (FLAGS_gateway_example) {
    std::cout << platform::DeploymentSettings::optionalExample();
    return ExitSuccess;
  }
  if (FLAGS_config.empty() && FLAGS_fleet.empty() && FLAGS_deployment.empty())
    throw core::Error(
        core::ErrorKind::Usage,
        "check needs --config=FILE, --fleet=FILE or --deployment=FILE");
  if (!FLAGS_deployment.empty())
    platform::DeploymentSettings::load(FLAGS_deployment);
  if (!FLAGS_config.empty())
    config::InstanceSettings::load(FLAGS_config);
  if (!FLAGS_fleet.empty())
    checkFleet(FLAGS_fleet);
  std::cout << "ok\n";
  return ExitSuccess;
}

} // namespace yardrill::program
