#include "LibRouting/InterleavedTargets.h"

#include <algorithm>
#include <cassert>

namespace yardrill::routing {

void InterleavedTargets::insert(KnownTarget &Known) {
  Hall &Members = m_Halls[Known.m_Target.m_DataHall];
  auto Position = std::lower_bound(Members.begin(), Members.end(), &Known,
                                   [this](const auto *A, const auto *B) {
                                     ++m_VisitCount;
                                     return KnownTarget::ByHash()(A, B);
                                   });
  Members.insert(Position, &Known);
  ++m_Size;
}

void InterleavedTargets::erase(const KnownTarget &Known) {
  auto Entry = m_Halls.find(Known.m_Target.m_DataHall);
  assert(Entry != m_Halls.end());
  Hall &Members = Entry->second;
  auto Position = std::lower_bound(Members.begin(), Members.end(), &Known,
                                   [this](const auto *A, const auto *B) {
                                     ++m_VisitCount;
                                     return KnownTarget::ByHash()(A, B);
                                   });
  assert(Position != Members.end() && *Position == &Known);
  Members.erase(Position);
  if (Members.empty())
    m_Halls.erase(Entry);
  --m_Size;
}

std::size_t InterleavedTargets::countBefore(const Hall &Other,
                                            const Hall &Targets,
                                            std::size_t Index) const {
  // The member at index I of N has the position (I + 1/2) / N. Positions are
  // compared as integers, so that instances cannot differ by rounding.
  std::size_t Position = (2 * Index + 1) * Other.size();
  std::size_t Step = 2 * Targets.size();
  // Number of J in the other hall with (2 J + 1) * Targets.size() < Position.
  std::size_t Below = (Position + Targets.size() - 1) / Step;
  bool IsTied =
      Below < Other.size() && (2 * Below + 1) * Targets.size() == Position;
  if (!IsTied)
    return Below;
  ++m_VisitCount;
  return Below + (KnownTarget::ByHash()(Other[Below], Targets[Index]) ? 1 : 0);
}

std::size_t InterleavedTargets::rankOf(const Hall &Targets,
                                       std::size_t Index) const {
  std::size_t Out = Index;
  for (const auto &[Name, Other] : m_Halls)
    if (&Other != &Targets)
      Out += countBefore(Other, Targets, Index);
  return Out;
}

std::size_t InterleavedTargets::firstIndexFrom(const Hall &Targets,
                                               std::size_t Rank) const {
  std::size_t Low = 0;
  std::size_t High = Targets.size();
  while (Low < High) {
    std::size_t Middle = Low + (High - Low) / 2;
    ++m_VisitCount;
    if (rankOf(Targets, Middle) < Rank)
      Low = Middle + 1;
    else
      High = Middle;
  }
  return Low;
}

std::vector<KnownTarget *> InterleavedTargets::slice(std::size_t First,
                                                     std::size_t Last) const {
  std::vector<KnownTarget *> Out(Last - First);
  for (const auto &[Name, Targets] : m_Halls) {
    std::size_t End = firstIndexFrom(Targets, Last);
    for (std::size_t I = firstIndexFrom(Targets, First); I < End; ++I) {
      ++m_VisitCount;
      Out[rankOf(Targets, I) - First] = Targets[I];
    }
  }
  return Out;
}

} // namespace yardrill::routing
