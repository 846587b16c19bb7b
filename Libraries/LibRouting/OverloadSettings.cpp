#include "LibRouting/OverloadSettings.h"

namespace yardrill::routing {

namespace {

struct Switch {
  const char *m_Name;
  bool OverloadSettings::*m_Member;
};

constexpr Switch Switches[] = {
    {"tier_concurrency", &OverloadSettings::m_TierConcurrency},
    {"slot_handover", &OverloadSettings::m_SlotHandover},
    {"wait_prediction", &OverloadSettings::m_WaitPrediction},
    {"return_schedule", &OverloadSettings::m_ReturnSchedule},
    {"account_fairness", &OverloadSettings::m_AccountFairness},
    {"slot_lending", &OverloadSettings::m_SlotLending},
};

} // namespace

std::vector<std::string> OverloadSettings::switchNames() {
  std::vector<std::string> Out;
  for (const Switch &Each : Switches)
    Out.emplace_back(Each.m_Name);
  return Out;
}

/// Appends \p Name to a list in \p Text.
static void append(std::string &Text, const char *Separator, const char *Name) {
  if (!Text.empty())
    Text += Separator;
  Text += Name;
}

std::string OverloadSettings::switchList() {
  std::string Out;
  for (const Switch &Each : Switches)
    append(Out, ", ", Each.m_Name);
  return Out;
}

bool OverloadSettings::setSwitch(const std::string &Name, bool IsOn) {
  for (const Switch &Each : Switches) {
    if (Name != Each.m_Name)
      continue;
    this->*Each.m_Member = IsOn;
    return true;
  }
  return false;
}

std::string OverloadSettings::switchesOff() const {
  std::string Out;
  for (const Switch &Each : Switches)
    if (!(this->*Each.m_Member))
      append(Out, ",", Each.m_Name);
  return Out;
}

} // namespace yardrill::routing
