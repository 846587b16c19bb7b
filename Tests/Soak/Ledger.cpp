#include "Ledger.h"

#include <algorithm>
#include <sstream>

namespace yardrill::soak {

/// These statuses promise that the request has not run and never will.
static bool isRefusal(unsigned Status) {
  return Status == 429 || Status == 503 || Status == 408 || Status == 421;
}

static bool isSuccess(unsigned Status) { return Status >= 200 && Status < 300; }

//===----------------------------------------------------------------------===//
// Trouble
//===----------------------------------------------------------------------===//

void Ledger::Trouble::change(bool Begins, TimePoint Now) {
  m_Open += Begins ? 1 : -1;
  m_EndedAt = Now;
}

void Ledger::processTrouble(std::size_t Gateway, bool Begins) {
  m_Gateways[Gateway].m_Process.change(Begins, m_Now());
}

void Ledger::pathTrouble(std::size_t Gateway, bool Begins) {
  m_Gateways[Gateway].m_Path.change(Begins, m_Now());
}

void Ledger::storeTrouble(bool Begins) { m_Store.change(Begins, m_Now()); }

void Ledger::setStopping(std::size_t Gateway, bool IsStopping) {
  m_Gateways[Gateway].m_IsStopping = IsStopping;
}

bool Ledger::isInTouchSince(std::size_t Which, TimePoint Since) const {
  const Gateway &At = m_Gateways[Which];
  return !At.m_IsStopping && At.m_Process.isOverSince(Since) &&
         At.m_Path.isOverSince(Since) && m_Store.isOverSince(Since);
}

//===----------------------------------------------------------------------===//
// Observations
//===----------------------------------------------------------------------===//

Attempt *Ledger::find(const std::string &Id) {
  auto Found = m_Attempts.find(Id);
  return Found == m_Attempts.end() ? nullptr : &Found->second;
}

void Ledger::broken(const std::string &Rule, const std::string &What) {
  m_Violations.push_back(Rule + ": " + What);
}

void Ledger::sent(Attempt What) {
  m_Requests.push_back({What.m_SentAt});
  std::string Id = What.m_Id;
  m_Attempts.emplace(std::move(Id), std::move(What));
}

void Ledger::arrived(const std::string &Id, const std::string &Target,
                     std::optional<TimePoint> LeavingSince) {
  Attempt *What = find(Id);
  if (!What)
    return broken("unasked", "nobody sent " + Id);
  if (++What->m_Arrivals > 1)
    m_Repeats.push_back({m_Now()});
  if (!What->m_Content.empty() && isInTouchSince(What->m_Gateway, m_Now()))
    m_BadContents[What->m_Content].m_Arrivals.push_back(m_Now());
  if (!LeavingSince || m_Now() <= *LeavingSince + bounds::NoNewWork)
    return;
  if (isInTouchSince(What->m_Gateway, *LeavingSince))
    broken("leaving", Id + " came to " + Target + " after it left");
}

void Ledger::arrivedAtRun(const std::string &Id, const std::string &Run) {
  const Attempt *What = find(Id);
  if (!What)
    return;
  const Gateway &At = m_Gateways[What->m_Gateway];
  m_Terms.arrived(Run, What->m_Gateway, What->m_SentAt, m_Now(),
                  !At.m_Process.isOverSince(m_Now()));
}

void Ledger::stated(const std::string &Id, const std::string &Run,
                    const TargetStatement &What) {
  if (const Attempt *Of = find(Id))
    m_Terms.stated(Run, Of->m_Gateway, What, m_Now());
}

void Ledger::ran(const std::string &Id) {
  Attempt *What = find(Id);
  if (!What)
    return;
  m_TokensRun[What->m_Account].push_back({m_Now(), What->m_Tokens});
  if (++What->m_Runs > 1 && !What->isRetryable())
    broken("once", Id + " ran again");
  if (What->m_Status && isRefusal(*What->m_Status) && !What->isRetryable())
    broken("refusal", Id + " ran after it was refused");
}

void Ledger::targetTrouble(const std::string &Id) {
  if (Attempt *What = find(Id))
    What->m_HasTargetTrouble = true;
}

void Ledger::endedUnder(const std::string &Content) {
  m_BadContents[Content].m_Ends.push_back(m_Now());
}

void Ledger::arrivedAt(const std::string &Id, const std::string &Pool,
                       const std::string &Version) {
  const Attempt *What = find(Id);
  bool IsInTouch = What && isInTouchSince(What->m_Gateway, m_Now());
  m_AtVersions.push_back({m_Now(), Pool, Version, IsInTouch});
}

void Ledger::answeredBadly(const std::string &Pool,
                           const std::string &Version) {
  m_BadAnswers.push_back({m_Now(), Pool, Version});
}

bool Ledger::isCalmSince(TimePoint Since) const {
  for (std::size_t I = 0; I < m_Gateways.size(); ++I)
    if (!isInTouchSince(I, Since))
      return false;
  return true;
}

void Ledger::checkRollout(const RolloutTerms &Terms) {
  if (!Terms.m_IsBad)
    return;
  double All = 0;
  double Exposed = 0;
  for (const VersionMark &Each : m_AtVersions) {
    bool IsWithin = Each.m_Pool == Terms.m_Pool &&
                    Each.m_At >= Terms.m_OrderedAt &&
                    Each.m_At <= Terms.m_Deadline;
    All += IsWithin ? 1 : 0;
    Exposed += IsWithin && Each.m_IsInTouch && Each.m_Version == Terms.m_Version
                   ? 1
                   : 0;
  }
  if (Exposed > bounds::ExposureShare * All + bounds::ExposureSlack) {
    std::ostringstream Text;
    Text << Terms.m_Version << " got " << Exposed << " of " << All;
    broken("exposure", Text.str());
  }
  // Bad answers count since the store was last in trouble.
  std::size_t Bad = 0;
  std::optional<TimePoint> Last;
  for (const BadMark &Each : m_BadAnswers)
    if (Each.m_Pool == Terms.m_Pool && Each.m_Version == Terms.m_Version &&
        m_Store.isOverSince(Each.m_At) && ++Bad == bounds::BadAnswersThatCount)
      Last = Each.m_At + bounds::Rollback;
  for (const VersionMark &Each : m_AtVersions)
    if (Last && Each.m_At > *Last && Each.m_IsInTouch &&
        Each.m_Pool == Terms.m_Pool && Each.m_Version == Terms.m_Version)
      return broken("exposure", Terms.m_Version + " got requests too long");
}

void Ledger::answered(const std::string &Id, unsigned Status) {
  Attempt &What = m_Attempts.at(Id);
  What.m_Status = Status;
  if (isRefusal(Status) && What.m_Runs > 0 && !What.isRetryable())
    broken("refusal", Id + " was refused after it ran");
  if (!What.m_IsProbe && (Status == 401 || Status == 404))
    broken("denied", Id + " got " + std::to_string(Status));
}

void Ledger::unanswered(const std::string &Id, const std::string &How) {
  ++m_Unanswered;
  Attempt &What = m_Attempts.at(Id);
  const Gateway &At = m_Gateways[What.m_Gateway];
  auto Passed = m_Now() - What.m_SentAt;
  if (!At.m_Process.isOverSince(What.m_SentAt))
    return;
  if (Passed > What.m_TimeLimit + bounds::AnswerSlack)
    return broken("held", Id + " had no answer at its time limit: " + How);
  // What had not ended when its time was over may be broken off.
  bool IsOver = Passed >= What.m_TimeLimit;
  bool IsOurs = !IsOver && (What.m_Runs > 0 || Passed > bounds::LossSlack);
  if (IsOurs && !What.m_HasTargetTrouble)
    broken(At.m_IsStopping ? "stop" : "lost", Id + " ended: " + How);
}

void Ledger::wrongAnswer(const std::string &Id, const std::string &How) {
  broken("answer", Id + ": " + How);
}

//===----------------------------------------------------------------------===//
// Windows
//===----------------------------------------------------------------------===//

/// Sum of the marks in [their First, First + Length).
static double sumFrom(const std::vector<Mark> &Marks, std::size_t First,
                      Clock::duration Length) {
  double Sum = 0;
  TimePoint End = Marks[First].m_At + Length;
  for (std::size_t I = First; I < Marks.size() && Marks[I].m_At < End; ++I)
    Sum += Marks[I].m_Amount;
  return Sum;
}

void Ledger::checkQuotas() {
  auto Window = std::chrono::duration<double>(bounds::QuotaWindow).count();
  for (const auto &[Account, Terms] : m_Quotas) {
    double Most = (Terms.m_TokensPerSecond * Window + Terms.m_Burst) *
                      (1 + bounds::QuotaOvershoot) +
                  bounds::QuotaSlack;
    const Marks &Run = m_TokensRun[Account];
    for (std::size_t I = 0; I < Run.size(); ++I) {
      double Sum = sumFrom(Run, I, bounds::QuotaWindow);
      if (Sum <= Most)
        continue;
      std::ostringstream Text;
      Text << Account << " ran " << Sum << " tokens in a window of " << Most;
      return broken("quota", Text.str());
    }
  }
}

void Ledger::checkRetries() {
  for (std::size_t I = 0; I < m_Repeats.size(); ++I) {
    double Again = sumFrom(m_Repeats, I, bounds::RetryWindow);
    auto First = std::lower_bound(
        m_Requests.begin(), m_Requests.end(), m_Repeats[I].m_At,
        [](const Mark &Each, TimePoint At) { return Each.m_At < At; });
    double Asked =
        First == m_Requests.end()
            ? 0
            : sumFrom(m_Requests,
                      static_cast<std::size_t>(First - m_Requests.begin()),
                      bounds::RetryWindow);
    if (Again <= bounds::RetryRatio * Asked + bounds::RetrySlack)
      continue;
    std::ostringstream Text;
    Text << Again << " repeats of " << Asked << " requests in a window";
    return broken("retries", Text.str());
  }
}

void Ledger::checkRecovery(TimePoint CalmSince) {
  std::size_t Asked = 0;
  std::size_t Served = 0;
  for (const auto &[Id, What] : m_Attempts) {
    bool IsLimited = m_Quotas.count(What.m_Account) != 0;
    if (What.m_SentAt < CalmSince + bounds::Contact || IsLimited ||
        !What.m_Content.empty())
      continue;
    ++Asked;
    Served += What.m_Status && isSuccess(*What.m_Status) ? 1 : 0;
  }
  if (static_cast<double>(Served) >=
      bounds::ServedAfterRecovery * static_cast<double>(Asked))
    return;
  std::ostringstream Text;
  Text << Served << " of " << Asked << " served once all trouble was over";
  broken("recovery", Text.str());
}

void Ledger::checkContents() {
  for (const auto &[Content, Seen] : m_BadContents) {
    if (Seen.m_Ends.size() < bounds::EndsOfContent)
      continue;
    TimePoint Last = Seen.m_Ends[bounds::EndsOfContent - 1] + bounds::Contact;
    auto Late = std::count_if(Seen.m_Arrivals.begin(), Seen.m_Arrivals.end(),
                              [Last](TimePoint At) { return At > Last; });
    if (static_cast<std::size_t>(Late) <= bounds::SendsAfterEnds)
      continue;
    std::ostringstream Text;
    Text << Content << " was sent " << Late << " times more, "
         << Seen.m_Ends.size() << " targets ended";
    broken("quarantine", Text.str());
  }
}

void Ledger::finish(TimePoint CalmSince) {
  m_Terms.finish();
  checkContents();
  checkQuotas();
  checkRetries();
  checkRecovery(CalmSince);
}

std::string Ledger::summary() const {
  std::size_t Served = 0;
  std::size_t Refused = 0;
  for (const auto &[Id, What] : m_Attempts) {
    Served += What.m_Status && isSuccess(*What.m_Status) ? 1 : 0;
    Refused += What.m_Status && isRefusal(*What.m_Status) ? 1 : 0;
  }
  std::ostringstream Out;
  Out << "requests=" << m_Attempts.size() << " served=" << Served
      << " refused=" << Refused << " unanswered=" << m_Unanswered
      << " repeats=" << m_Repeats.size()
      << " bad_contents=" << m_BadContents.size()
      << " limits=" << m_Terms.limits() << " rests=" << m_Terms.rests()
      << " violations=" << m_Violations.size();
  return Out.str();
}

} // namespace yardrill::soak
