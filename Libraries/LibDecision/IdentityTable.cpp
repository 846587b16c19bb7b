#include "LibDecision/IdentityTable.h"

#include <cassert>

namespace yardrill::decision {

/// Time by which the expiry of a record that is in use is extended.
static const std::chrono::seconds InUseExtension(10);

IdentityRecord *IdentityTable::find(const std::string &Name) {
  auto Found = m_Records.find(Name);
  return Found == m_Records.end() ? nullptr : &Found->second;
}

IdentityRecord &IdentityTable::insert(const Identity &Id,
                                      core::RequestId Runner,
                                      core::TimePoint ForgetAt) {
  assert(!isFull() && m_Records.count(Id.m_Name) == 0);
  IdentityRecord &Record = m_Records[Id.m_Name];
  Record.m_Kind = Id.m_Kind;
  Record.m_BodyDigest = Id.m_BodyDigest;
  Record.m_Runner = Runner;
  Record.m_ForgetAt = ForgetAt;
  m_Expiries.emplace(ForgetAt, Id.m_Name);
  return Record;
}

void IdentityTable::erase(const std::string &Name) {
  auto Found = m_Records.find(Name);
  if (Found == m_Records.end())
    return;
  m_Expiries.erase({Found->second.m_ForgetAt, Name});
  m_Records.erase(Found);
}

std::vector<core::RequestId> IdentityTable::expire(core::TimePoint Now) {
  std::vector<core::RequestId> Stored;
  while (!m_Expiries.empty() && m_Expiries.begin()->first <= Now) {
    std::string Name = m_Expiries.begin()->second;
    IdentityRecord &Record = m_Records.at(Name);
    bool IsBusy = Record.m_State == IdentityState::Claiming ||
                  Record.m_State == IdentityState::Running;
    if (IsBusy) {
      m_Expiries.erase(m_Expiries.begin());
      Record.m_ForgetAt = Now + InUseExtension;
      m_Expiries.emplace(Record.m_ForgetAt, Name);
      continue;
    }
    if (Record.m_State == IdentityState::Stored)
      Stored.push_back(Record.m_Runner);
    erase(Name);
  }
  return Stored;
}

} // namespace yardrill::decision
