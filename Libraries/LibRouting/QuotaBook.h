//===-- QuotaBook.h - The quotas of all client accounts -------------------===//
#ifndef YARDRILL_LIBROUTING_QUOTABOOK_H
#define YARDRILL_LIBROUTING_QUOTABOOK_H

#include "LibCore/StrongType.h"
#include "LibRouting/RoutingTable.h"
#include "LibRouting/TokenQuota.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace yardrill::routing {

/// Tokens that one instance drew for each account since it started, by the
/// low half of stableHash() of the account's name.
using DrawnTokens = std::map<std::uint32_t, std::uint64_t>;

class QuotaBook {
public:
  /// \param IsFull whether buckets start full; see TokenQuota.
  explicit QuotaBook(bool IsFull) : m_IsFull(IsFull) {}

  void configure(const RoutingTable &Table, core::TimePoint Now);
  /// \returns true when the account may have that many tokens now. Accounts
  /// without a limit always may.
  bool tryTake(const core::AccountName &Account, std::uint32_t Tokens,
               core::TimePoint Now);
  void giveBack(const core::AccountName &Account, std::uint32_t Tokens);
  core::Duration untilAvailable(const core::AccountName &Account) const;

  /// What this instance drew, for the others.
  const DrawnTokens &drawn() const { return m_Drawn; }
  /// What another incarnation says it drew. Only the difference to what it
  /// said before counts.
  void noteOther(core::IncarnationId Other, const DrawnTokens &Drawn);
  void forgetOther(core::IncarnationId Other) { m_Others.erase(Other); }
  /// \param Share of each rate that this instance may count on; below 1 while
  /// other instances may be drawing unheard.
  void setShare(double Share) { m_Share = Share; }

  static std::uint32_t hashOf(const core::AccountName &Account);

private:
  bool m_IsFull;
  double m_Share = 1;
  std::unordered_map<core::AccountName, TokenQuota> m_Quotas;
  std::unordered_map<std::uint32_t, core::AccountName> m_Names;
  DrawnTokens m_Drawn;
  std::map<core::IncarnationId, DrawnTokens> m_Others;
};

} // namespace yardrill::routing

#endif
