//===-- ConfigurationCostProgram.cpp - Costs of a configuration change ----===//
//
// Prints for configurations of several sizes: the time to parse one, to create
// and to apply the patch for two changed routes, the size of the patch and of
// the one from an empty value, and the memory of the parsed route table.
//
//===----------------------------------------------------------------------===//
#include "LibGateway/ValuePatch.h"
#include "StoreEntries.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <iostream>
#include <malloc.h>
#include <random>
#include <string>

using namespace yardrill;

static constexpr int Repetitions = 9;
static constexpr std::size_t MaxBytes = 16UL * 1024 * 1024;

/// Returns a configuration with random names, the same for each call, in which
/// the route at index \p Changed has another time limit.
static std::string configuration(std::size_t Routes, std::size_t Changed) {
  std::mt19937 Random(1);
  auto RandomName = [&Random] {
    std::string Out;
    for (int I = 0; I < 7; ++I)
      Out += static_cast<char>('a' + Random() % 26);
    return Out;
  };
  std::string Out = R"({"version":7,"routes":[)";
  for (std::size_t I = 0; I < Routes; ++I) {
    Out += I == 0 ? "" : ",";
    Out += R"({"name":"r-)" + RandomName() + R"(","host":")" + RandomName() +
           R"(.example","pathPrefix":"/)" + RandomName() +
           R"(/","routeKind":"idempotent","timeoutMs":)" +
           (I == Changed ? "4000" : "8000") +
           R"(,"sloMs":100,"priority":3,"service":"pool","maxAttempts":2,)"
           R"("public":false,"sticky":false,"resumable":false})";
  }
  return Out + R"(],"services":[{"name":"pool","maxConns":590}]})";
}

/// Returns the shortest time of several repetitions, in milliseconds.
static double minMilliseconds(const std::function<void()> &Function) {
  double Best = 1e9;
  for (int I = 0; I < Repetitions; ++I) {
    auto Begin = std::chrono::steady_clock::now();
    Function();
    std::chrono::duration<double, std::milli> Took =
        std::chrono::steady_clock::now() - Begin;
    Best = std::min(Best, Took.count());
  }
  return Best;
}

static double megabytesInUse() {
  return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

int main() {
  std::cout << "routes,text_mb,read_ms,table_mb,patch_bytes,patch_ms,apply_ms,"
               "whole_bytes\n";
  for (std::size_t Routes : {40, 1440, 2840, 5500}) {
    std::string Before = configuration(Routes, 0);
    std::string After = configuration(Routes, Routes / 2);
    double Empty = megabytesInUse();
    auto Table = platform::parseConfiguration(After);
    double TableMb = megabytesInUse() - Empty;
    double ReadMs =
        minMilliseconds([&] { Table = platform::parseConfiguration(After); });
    std::string Patch;
    double PatchMs =
        minMilliseconds([&] { Patch = gateway::makePatch(Before, After); });
    double ApplyMs =
        minMilliseconds([&] { gateway::applyPatch(Before, Patch, MaxBytes); });
    std::cout << Routes << ',' << static_cast<double>(After.size()) / 1e6 << ','
              << ReadMs << ',' << TableMb << ',' << Patch.size() << ','
              << PatchMs << ',' << ApplyMs << ','
              << gateway::makePatch("", After).size() << '\n';
  }
}
