//===-- ContentDigestProgram.cpp - Time of a quarantine content digest ----===//
//
// Usage: content_digest. Prints nanoseconds per digest for bodies of several
// sizes: empty, the mean sizes of the deployments' request kinds, and a large
// one; then per request for prompts of several shared parts, with their look-up
// in an empty quarantine and in one that has entries.
//
//===----------------------------------------------------------------------===//
#include "LibQuarantine/QuarantineTable.h"

#include <chrono>
#include <cstdio>
#include <string>

using yardrill::quarantine::ContentDigest;

static constexpr int Rounds = 20000;

/// Prints the time to identify and look up the shared parts of a prompt.
static void measureParts(std::size_t Count, std::size_t Entries) {
  yardrill::quarantine::QuarantineTable Table;
  for (std::uint64_t I = 0; I < Entries; ++I)
    Table.noteTargetExit({I, 7}, 1, {});
  std::string Id = "5c1e07a2";
  std::size_t Found = 0;
  auto Begin = std::chrono::steady_clock::now();
  for (int I = 0; I < Rounds; ++I)
    for (std::size_t Part = 0; Part < Count; ++Part) {
      Id.back() = static_cast<char>('a' + Part % 6);
      Found += Table.incriminatingIncarnations(ContentDigest::ofPart(7, Id));
    }
  std::chrono::duration<double, std::nano> Took =
      std::chrono::steady_clock::now() - Begin;
  std::printf("%zu parts, %zu entries: %.0f ns (%zu)\n", Count, Entries,
              Took.count() / Rounds, Found);
}

int main() {
  for (std::size_t Size : {0, 600, 1500, 9200, 17000, 100000}) {
    std::string Body(Size, 'x');
    std::uint64_t Sum = 0;
    auto Begin = std::chrono::steady_clock::now();
    for (int I = 0; I < Rounds; ++I)
      Sum += ContentDigest::of(
                 {"account", "host.example", "POST", "/route123/45", Body})
                 .m_Low;
    std::chrono::duration<double, std::nano> Took =
        std::chrono::steady_clock::now() - Begin;
    std::printf("%zu bytes: %.0f ns (%llx)\n", Size, Took.count() / Rounds,
                static_cast<unsigned long long>(Sum));
  }
  for (std::size_t Parts : {1, 4, 16})
    for (std::size_t Entries : {0, 1000})
      measureParts(Parts, Entries);
}
