#include "CommandLine.h"
#include "DeploymentSettings.h"
#include "StoreClient.h"

#include "LibConfig/InstanceSettings.h"
#include "LibCore/Error.h"
#include "LibGateway/QuarantineService.h"
#include "LibQuarantine/QuarantineFormat.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <cstdio>
#include <functional>
#include <gflags/gflags.h>
#include <iostream>
#include <map>

DECLARE_string(config);

namespace yardrill::program {

namespace asio = boost::asio;
using quarantine::ContentDigest;
using quarantine::Observation;
using quarantine::QuarantineTable;

/// Attempts to replace the record. Instances write it too; after a conflict it
/// is read again.
static constexpr int MaxSwapAttempts = 5;

static std::string recordKey() {
  return gateway::StoreRecord::keyOf(gateway::QuarantineService::RecordName);
}

/// Calls \p Function with a client of the store that the settings file names.
static void withStore(
    const std::function<void(platform::StoreClient &, asio::yield_context)>
        &Function) {
  std::string File = FLAGS_config.empty()
                         ? platform::DeploymentSettings::pathFromEnvironment()
                         : FLAGS_config;
  auto Settings =
      platform::DeploymentSettings::parse(config::readFile(File), File);
  asio::io_context Context(1);
  platform::StoreClient Store(Context, Settings.m_Store);
  std::exception_ptr Failure;
  asio::spawn(
      Context,
      [&](asio::yield_context Yield) {
        try {
          Function(Store, Yield);
        } catch (const core::Error &) {
          Failure = std::current_exception();
        }
        Context.stop();
      },
      asio::detached);
  Context.run();
  if (Failure)
    std::rethrow_exception(Failure);
}

static platform::Entry readRecord(platform::StoreClient &Store,
                                  asio::yield_context Yield) {
  return Store.read(recordKey(), platform::CallClass::Control, Yield)
      .value_or(platform::Entry());
}

static void printRecord(const std::string &Text) {
  auto Observations = quarantine::parseObservations(Text);
  if (!Observations)
    throw core::Error(core::ErrorKind::Protocol,
                      recordKey() + " has an invalid format");
  std::map<ContentDigest, std::pair<std::size_t, std::size_t>> Counts;
  for (const Observation &Each : *Observations)
    ++(Each.m_IsCleared ? Counts[Each.m_Content].second
                        : Counts[Each.m_Content].first);
  QuarantineTable Table;
  for (const Observation &Each : *Observations)
    Table.merge(Each, core::TimePoint());
  std::cout << "content                           exits  cleared  state        "
               "kind\n";
  for (const auto &[Content, Count] : Counts) {
    const char *State = "released";
    if (Table.isQuarantined(Content))
      State = "quarantined";
    else if (Table.isSuspect(Content))
      State = "suspect";
    else if (Count.first >= QuarantineTable::IncarnationsToSuspect)
      State = "explained";
    std::printf("%s  %5zu  %7zu  %-11s  %s\n", Content.toString().c_str(),
                Count.first, Count.second, State,
                Content.isPart() ? "part" : "whole");
    std::fflush(stdout);
  }
}

int runQuarantineList(const std::vector<std::string> &) {
  withStore([](platform::StoreClient &Store, asio::yield_context Yield) {
    printRecord(readRecord(Store, Yield).m_Value);
  });
  return ExitSuccess;
}

int runQuarantineLift(const std::vector<std::string> &Positionals) {
  auto Content = ContentDigest::parse(Positionals.at(0));
  if (!Content)
    throw core::Error(core::ErrorKind::Usage,
                      "CONTENT must be 32 hex digits, as in the logs and in "
                      "quarantine list");
  withStore([&](platform::StoreClient &Store, asio::yield_context Yield) {
    for (int I = 0; I < MaxSwapAttempts; ++I) {
      platform::Entry Current = readRecord(Store, Yield);
      auto Text = quarantine::withContentCleared(Current.m_Value, *Content);
      if (!Text)
        throw core::Error(core::ErrorKind::Usage,
                          "the store has no observations of that content");
      platform::CompareAndSwap Swap{recordKey(),
                                    Current.m_ModRevision,
                                    {{recordKey(), *Text, std::nullopt}}};
      if (Store.compareAndSwap(Swap, platform::CallClass::Control, Yield)
              .m_IsSwapped) {
        std::cout << "lifted; instances receive the change from the store\n";
        return;
      }
    }
    throw core::Error(
        core::ErrorKind::Conflict,
        "instances changed the record during each attempt; try again");
  });
  return ExitSuccess;
}

} // namespace yardrill::program
