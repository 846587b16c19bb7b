#include "LibRouting/InterleavedTargets.h"

#include <algorithm>
#include <cassert>

namespace yardrill::routing {

void InterleavedTargets::insert(KnownTarget &What) {
  Hall &Into = m_Halls[What.m_Target.m_DataHall];
  auto Place = std::lower_bound(Into.begin(), Into.end(), &What,
                                [this](const auto *A, const auto *B) {
                                  ++m_VisitCount;
                                  return KnownTarget::ByHash()(A, B);
                                });
  Into.insert(Place, &What);
  ++m_Size;
}

void InterleavedTargets::erase(const KnownTarget &What) {
  auto From = m_Halls.find(What.m_Target.m_DataHall);
  assert(From != m_Halls.end());
  Hall &Members = From->second;
  auto Place = std::lower_bound(Members.begin(), Members.end(), &What,
                                [this](const auto *A, const auto *B) {
                                  ++m_VisitCount;
                                  return KnownTarget::ByHash()(A, B);
                                });
  assert(Place != Members.end() && *Place == &What);
  Members.erase(Place);
  if (Members.empty())
    m_Halls.erase(From);
  --m_Size;
}

std::size_t InterleavedTargets::countBefore(const Hall &Other, const Hall &Of,
                                            std::size_t Index) const {
  // Index I of N members lies at (I + 1/2) / N. Compared as whole numbers: no
  // two instances may disagree by a rounding.
  std::size_t Place = (2 * Index + 1) * Other.size();
  std::size_t Step = 2 * Of.size();
  // Of the other hall, (2 J + 1) * Of.size() < Place.
  std::size_t Below = (Place + Of.size() - 1) / Step;
  bool IsLevel = Below < Other.size() && (2 * Below + 1) * Of.size() == Place;
  if (!IsLevel)
    return Below;
  ++m_VisitCount;
  return Below + (KnownTarget::ByHash()(Other[Below], Of[Index]) ? 1 : 0);
}

std::size_t InterleavedTargets::rankOf(const Hall &Of,
                                       std::size_t Index) const {
  std::size_t Out = Index;
  for (const auto &[Name, Other] : m_Halls)
    if (&Other != &Of)
      Out += countBefore(Other, Of, Index);
  return Out;
}

std::size_t InterleavedTargets::firstIndexFrom(const Hall &Of,
                                               std::size_t Rank) const {
  std::size_t Low = 0;
  std::size_t High = Of.size();
  while (Low < High) {
    std::size_t Middle = Low + (High - Low) / 2;
    ++m_VisitCount;
    if (rankOf(Of, Middle) < Rank)
      Low = Middle + 1;
    else
      High = Middle;
  }
  return Low;
}

std::vector<KnownTarget *> InterleavedTargets::slice(std::size_t First,
                                                     std::size_t Last) const {
  std::vector<KnownTarget *> Out(Last - First);
  for (const auto &[Name, Of] : m_Halls) {
    std::size_t End = firstIndexFrom(Of, Last);
    for (std::size_t I = firstIndexFrom(Of, First); I < End; ++I) {
      ++m_VisitCount;
      Out[rankOf(Of, I) - First] = Of[I];
    }
  }
  return Out;
}

} // namespace yardrill::routing
