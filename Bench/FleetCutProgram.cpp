//===-- FleetCutProgram.cpp - Subset sizes by fleet and pool size ---------===//
//
// Prints for each size of fleet and pool: the smallest and largest subset of an
// instance, the mean number of instances per target, and the largest group.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/FleetSubset.h"

#include <algorithm>
#include <iostream>

using namespace yardrill;
using routing::FleetSubset;

static const std::size_t FleetSizes[] = {6, 24, 89, 295, 440};
static const std::size_t PoolSizes[] = {3,   8,   18,   48,   90,   140,
                                        160, 222, 1000, 4000, 12000};
/// Number of data halls in deployments of hundreds of instances.
static constexpr std::size_t DataHalls = 5;

static FleetSubset::Fleet fleetOf(std::size_t Size) {
  FleetSubset::Fleet Out;
  for (std::size_t I = 0; I < Size; ++I) {
    config::Endpoint Address{"10." + std::to_string(1 + I % DataHalls) + ".0." +
                                 std::to_string(10 + I / DataHalls),
                             7600};
    Out[Address] = core::DataHallName("hall-" + std::to_string(I % DataHalls));
  }
  return Out;
}

static void printRow(std::size_t Fleet, std::size_t Pool) {
  FleetSubset::Fleet All = fleetOf(Fleet);
  std::size_t MinSubsetSize = Pool;
  std::size_t MaxSubsetSize = 0;
  std::size_t MaxGroupSize = 0;
  std::size_t SubsetSizes = 0;
  for (const auto &[Address, Hall] : All) {
    FleetSubset Subset(Address, All, FleetSubset::groupSizeFor(Fleet, Pool));
    std::size_t SubsetSize = 0;
    for (std::size_t TargetIndex = 0; TargetIndex < Pool; ++TargetIndex)
      SubsetSize += Subset.isInSubset(TargetIndex, Pool) ? 1 : 0;
    MinSubsetSize = std::min(MinSubsetSize, SubsetSize);
    MaxSubsetSize = std::max(MaxSubsetSize, SubsetSize);
    SubsetSizes += SubsetSize;
    MaxGroupSize = std::max(MaxGroupSize, Subset.groupMembers().size());
  }
  std::cout << "instances=" << Fleet << " targets=" << Pool
            << " own_least=" << MinSubsetSize << " own_most=" << MaxSubsetSize
            << " sharers=" << SubsetSizes / Pool << " heard=" << MaxGroupSize
            << "\n";
}

int main() {
  for (std::size_t Fleet : FleetSizes)
    for (std::size_t Pool : PoolSizes)
      printRow(Fleet, Pool);
}
