#include "LibHTTP/TransferMeter.h"

#include <algorithm>
#include <vector>

namespace yardrill::http {

/// Samples below which their median says little.
static constexpr std::size_t MinSamples = 4;

std::size_t TransferMeter::open(core::TimePoint Now) const {
  // Ids and times ascend together.
  auto &Open = m_State->m_Open;
  while (!Open.empty() && Now - Open.begin()->second > MaxTransferTime)
    Open.erase(Open.begin());
  return Open.size();
}

double TransferMeter::completedPerSecond(core::TimePoint Now) const {
  std::int64_t Newest = bucketNumber(Now);
  std::size_t Completed = 0;
  for (const Bucket &Each : m_State->m_Buckets)
    if (Newest - Each.m_Number < static_cast<std::int64_t>(BucketCount))
      Completed += Each.m_Completed;
  return static_cast<double>(Completed) /
         core::toSeconds(core::Duration(BucketTime) * BucketCount);
}

std::optional<core::Duration>
TransferMeter::recentDuration(core::TimePoint Now) const {
  std::vector<core::Duration> Recent;
  for (const Sample &Each : m_State->m_Samples)
    if (Now - Each.m_CompletedAt <= MaxTransferTime)
      Recent.push_back(Each.m_Duration);
  if (Recent.size() < MinSamples)
    return std::nullopt;
  auto Middle = Recent.begin() + static_cast<std::ptrdiff_t>(Recent.size() / 2);
  std::nth_element(Recent.begin(), Middle, Recent.end());
  return *Middle;
}

void TransferMeter::Transfer::begin(core::TimePoint Now) {
  if (isOpen())
    return;
  m_Id = m_Meter->m_NextId++;
  m_BeganAt = Now;
  m_Meter->m_Open.emplace(m_Id, Now);
}

void TransferMeter::Transfer::complete(core::TimePoint Now) {
  if (!isOpen())
    return;
  abandon();
  if (Now - m_BeganAt > MaxTransferTime)
    return;
  m_Meter->m_Samples[m_Meter->m_NextSample++ % SampleCount] = {Now,
                                                               Now - m_BeganAt};
  std::int64_t Number = bucketNumber(Now);
  Bucket &Current =
      m_Meter->m_Buckets[static_cast<std::size_t>(Number) % BucketCount];
  if (Current.m_Number != Number)
    Current = {Number, 0};
  ++Current.m_Completed;
}

void TransferMeter::Transfer::abandon() {
  m_Meter->m_Open.erase(m_Id);
  m_Id = 0;
}

} // namespace yardrill::http
