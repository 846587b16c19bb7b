//===-- ContentDigestProgram.cpp - Time of a quarantine content digest ----===//
//
// Usage: content_digest. Prints nanoseconds per digest for bodies of several
// sizes: empty, the mean sizes of the deployments' request kinds, and a large
// one.
//
//===----------------------------------------------------------------------===//
#include "LibQuarantine/ContentDigest.h"

#include <chrono>
#include <cstdio>
#include <string>

using yardrill::quarantine::ContentDigest;

static constexpr int Rounds = 20000;

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
}
