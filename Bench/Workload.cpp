#include "Workload.h"

#include <ostream>
#include <random>

namespace yardrill::bench {

using std::chrono::seconds;

WorkloadShape trustSale() {
  WorkloadShape Out;
  Out.m_Name = "trust-sale";
  Out.m_Kinds = {{1, 0.55, 300, 40, seconds(3), 0},
                 {2, 0.30, 1200, 250, seconds(20), 40},
                 {3, 0.15, 6000, 900, seconds(120), 40}};
  Out.m_Rate = 5;
  return Out;
}

WorkloadShape clubEvening() {
  WorkloadShape Out;
  Out.m_Name = "club-evening";
  Out.m_Kinds = {{1, 0.5, 60, 30, seconds(3), 0},
                 {2, 0.3, 1500, 200, seconds(20), 60},
                 {3, 0.2, 8000, 1200, seconds(120), 60}};
  Out.m_Rate = 4;
  return Out;
}

std::vector<Request> makeWorkload(const WorkloadShape &Shape, unsigned Seed) {
  std::mt19937_64 Random(Seed);
  std::uniform_real_distribution<double> Unit(0, 1);
  // Varies output lengths by a factor of about four.
  std::lognormal_distribution<double> LengthFactor(0, 0.35);
  std::vector<Request> All;
  core::Duration Now{};
  while (true) {
    bool IsBurst = Now > Shape.m_Length / 3 && Now < Shape.m_Length * 2 / 3;
    double Rate = Shape.m_Rate * (IsBurst ? Shape.m_Burst : 1);
    std::exponential_distribution<double> Gap(Rate);
    Now += core::Duration(static_cast<std::int64_t>(Gap(Random) * 1e6));
    if (Now >= Shape.m_Length)
      return All;
    double Draw = Unit(Random);
    const RequestProfile *Kind = &Shape.m_Kinds.back();
    for (const RequestProfile &Each : Shape.m_Kinds) {
      if (Draw < Each.m_Share) {
        Kind = &Each;
        break;
      }
      Draw -= Each.m_Share;
    }
    Request Next;
    Next.m_At = Now;
    Next.m_Tier = Kind->m_Tier;
    Next.m_Account = static_cast<std::uint32_t>(Random() % Shape.m_Accounts);
    Next.m_Prefill = Kind->m_Prefill;
    Next.m_Output =
        static_cast<std::uint32_t>(Kind->m_Output * LengthFactor(Random)) + 1;
    Next.m_Deadline = Kind->m_Deadline;
    if (Kind->m_Prefixes != 0)
      Next.m_Prefix = Kind->m_Tier * 1000UL + Random() % Kind->m_Prefixes;
    Next.m_Instance = Random() % Shape.m_Instances;
    All.push_back(Next);
  }
}

void writeWorkload(std::ostream &Out, const std::vector<Request> &Requests) {
  for (const Request &Each : Requests)
    Out << Each.m_At.count() << ' ' << Each.m_Tier << ' ' << Each.m_Account
        << ' ' << Each.m_Prefill << ' ' << Each.m_Output << ' '
        << Each.m_Deadline.count() << ' ' << Each.m_Prefix << ' '
        << Each.m_Instance << '\n';
}

} // namespace yardrill::bench
