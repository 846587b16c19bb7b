#include "LibGateway/TargetTermsService.h"

#include "LibCore/Log.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace yardrill::gateway {

using routing::StatedTerms;

static constexpr std::chrono::seconds TellPeriod{1};

static peer::ToldTerms toMessage(const StatedTerms &What, core::TimePoint Now) {
  peer::ToldTerms Out;
  Out.m_Target = What.m_Run.m_Name.value();
  Out.m_Birth = What.m_Run.m_Birth.value();
  Out.m_IsLimited = What.m_Limit.m_PerSecond.has_value();
  Out.m_PerSecond = What.m_Limit.m_PerSecond.value_or(0);
  Out.m_LimitAgeUs =
      static_cast<std::uint64_t>((Now - What.m_Limit.m_At).count());
  Out.m_IsLeaving = What.m_IsLeaving;
  return Out;
}

/// \returns none for what no instance says.
static std::optional<StatedTerms> fromMessage(const peer::ToldTerms &Told,
                                              core::TimePoint Now) {
  if (!std::isfinite(Told.m_PerSecond) || Told.m_PerSecond < 0)
    return std::nullopt;
  StatedTerms Out;
  Out.m_Run = {core::TargetName(Told.m_Target),
               core::TargetBirth(Told.m_Birth)};
  if (Told.m_IsLimited)
    Out.m_Limit.m_PerSecond = Told.m_PerSecond;
  // Longer ago than this machine runs: before all that it heard itself.
  auto Longest = static_cast<std::uint64_t>(Now.time_since_epoch().count());
  Out.m_Limit.m_At = Now - core::Duration(std::min(Told.m_LimitAgeUs, Longest));
  Out.m_IsLeaving = Told.m_IsLeaving;
  return Out;
}

void TargetTermsService::said(const routing::Target &Which,
                              const routing::TargetTerms &Terms,
                              core::TimePoint Now) {
  if (Terms.isEmpty() && m_Targets.admissions().isEmpty())
    return;
  routing::TargetRun Run = Which.run();
  bool IsNews = m_Targets.admissions().take(Run, Terms, Now);
  if (IsNews || Terms.m_Rest || Terms.m_IsLimitUnreadable)
    logChange(Run, Terms);
  // A rest is asked of this instance alone.
  if (!IsNews)
    return;
  NewsFor To;
  add(m_Targets.admissions().termsOf(Run), Now, To);
  send(To);
}

void TargetTermsService::take(const peer::PeerMessage &Message,
                              core::TimePoint Now) {
  const auto *News = std::get_if<peer::TargetNews>(&Message.m_Body);
  if (!News)
    return;
  for (const peer::ToldTerms &Each : News->m_Terms) {
    std::optional<StatedTerms> Told = fromMessage(Each, Now);
    if (Told && m_Targets.admissions().take(*Told, Now))
      logChange(Told->m_Run, {});
  }
}

void TargetTermsService::add(const StatedTerms &What, core::TimePoint Now,
                             NewsFor &To) {
  const routing::KnownTarget *Known = m_Targets.findRun(What.m_Run);
  if (!Known)
    return;
  for (const config::Endpoint &Each :
       m_Targets.sharersOf(Known->m_Target.m_Pool))
    if (!(Each == m_Self))
      To[Each].push_back(toMessage(What, Now));
}

void TargetTermsService::send(const NewsFor &To) {
  for (const auto &[Address, Terms] : To)
    for (std::size_t First = 0; First < Terms.size();
         First += peer::TargetNews::Most) {
      std::size_t End = std::min(Terms.size(), First + peer::TargetNews::Most);
      m_Send(Address,
             peer::TargetNews{{Terms.begin() + static_cast<long>(First),
                               Terms.begin() + static_cast<long>(End)}});
    }
}

void TargetTermsService::logChange(const routing::TargetRun &Run,
                                   const routing::TargetTerms &Said) const {
  StatedTerms Known = m_Targets.admissions().termsOf(Run);
  core::LogLine Line("target-terms", core::LogLevel::Warning);
  Line.add("target", Run.m_Name)
      .add("birth", Run.m_Birth)
      .add("is_leaving", Known.m_IsLeaving);
  if (Known.m_Limit.m_PerSecond)
    Line.add("limit_per_second", *Known.m_Limit.m_PerSecond)
        .add("is_sender", m_Targets.admissions().isSender(Run));
  if (Said.m_IsLimitUnreadable)
    Line.add("is_limit_unreadable", true);
  if (Said.m_Rest)
    Line.add("rest_us", *Said.m_Rest);
}

void TargetTermsService::upkeep(core::TimePoint Now) {
  if (m_Targets.admissions().isEmpty())
    return;
  m_Targets.admissions().forgetOld(Now);
  if (Now - m_ToldAt < TellPeriod)
    return;
  m_ToldAt = Now;
  NewsFor To;
  for (const StatedTerms &Each : m_Targets.admissions().toTell(Now))
    add(Each, Now, To);
  send(To);
}

} // namespace yardrill::gateway
