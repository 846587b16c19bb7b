//===-- StoreSpreadProgram.cpp - Propagation time of a store change -------===//
//
// Six instances follow the store, as in a large fleet; the others receive the
// change from peers over links of 10 Mbit/s. Prints, for each number of
// instances and size of change, when the last instance has it, the bytes sent,
// and the processor time per instance (all run in this process).
//
//===----------------------------------------------------------------------===//
#include "LibCore/Log.h"
#include "MirrorFleet.h"

#include <algorithm>
#include <ctime>
#include <iostream>
#include <random>

using namespace yardrill;
using namespace yardrill::tests;
using platform::Entry;
using platform::Revision;

static constexpr std::size_t Followers = 6;
static constexpr std::chrono::seconds SpreadTimeout{60};
static const char Key[] = "configuration";

static std::string configuration(std::size_t Routes, std::size_t Changed) {
  std::mt19937 Random(1);
  std::string Out;
  for (std::size_t I = 0; I < Routes; ++I)
    Out += R"({"name":"r-)" + std::to_string(Random()) + R"(","host":")" +
           std::to_string(Random()) + R"(.example","pathPrefix":"/)" +
           std::to_string(Random()) +
           R"(/","routeKind":"idempotent","timeoutMs":)" +
           (I == Changed ? "4000" : "8000") +
           R"(,"sloMs":100,"priority":3,"service":"pool","maxAttempts":2,)"
           R"("public":false,"sticky":false,"resumable":false})";
  return Out;
}

static double processorMs() {
  return 1e3 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Propagates a change from \p Before to \p After and prints its costs.
static void measureChange(std::size_t Instances, const char *Change,
                          const std::string &Before, const std::string &After) {
  MirrorFleet Fleet;
  for (std::size_t I = 0; I < Instances; ++I) {
    auto &Each = Fleet.add(Revision(1), {Entry{Key, Before, Revision(1)}});
    Each.link().limitResponseRate(SmallLinkRate);
  }
  Fleet.start();
  Fleet.runFor(std::chrono::milliseconds(100));
  double Begin = processorMs();
  for (std::size_t I = 0; I < Followers; ++I)
    Fleet.instance(I).mirror().apply(Revision(2),
                                     {Entry{Key, After, Revision(2)}});
  auto Took = Fleet.runUntil(
      [&] { return Fleet.haveAllDelivered(Key, Revision(2)); }, SpreadTimeout);
  double ProcessorMs = processorMs() - Begin;
  std::size_t MaxBytesSent = 0;
  std::size_t TotalBytesSent = 0;
  for (std::size_t I = 0; I < Instances; ++I) {
    MaxBytesSent = std::max(MaxBytesSent, Fleet.instance(I).bytesSent());
    TotalBytesSent += Fleet.instance(I).bytesSent();
  }
  std::cout << Instances << ',' << Change << ',' << After.size() << ','
            << Took.count() << ',' << TotalBytesSent / Instances << ','
            << MaxBytesSent << ','
            << ProcessorMs / static_cast<double>(Instances) << std::endl;
}

int main() {
  core::setLogSink([](const std::string &) {});
  std::cout << "instances,change,text_bytes,last_ms,bytes_each,bytes_most,"
               "processor_ms_each\n";
  std::string Small = configuration(1440, 0);
  std::string Large = configuration(2840, 0);
  std::string Changed = configuration(2840, 1000);
  for (std::size_t Instances : {24, 89, 220, 440}) {
    measureChange(Instances, "one-route", Large, Changed);
    measureChange(Instances, "1400-routes-more", Small, Large);
    measureChange(Instances, "all-of-it", "", Large);
  }
}
