//===-- EngineModel.h - A model engine, small enough to read --------------===//
//
// A number of places; waiting by priority; a bounded cache of prompt prefixes,
// least recently used goes first; a speed of its own. Batching effects are left
// out. Times are exact; nothing is drawn at random.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_BENCH_ENGINEMODEL_H
#define YARDRILL_BENCH_ENGINEMODEL_H

#include "Workload.h"

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace yardrill::bench {

inline constexpr double PrefillRate = 4000; ///< Tokens a second at speed 1.
inline constexpr double DecodeRate = 40;    ///< Of one stream, at speed 1.

/// What starting a request means.
struct StartedRequest {
  std::size_t m_Request = 0;
  bool m_IsCached = false;
  core::Duration m_Prefill{}; ///< Until the first token.
  core::Duration m_Total{};
};

class EngineModel {
public:
  EngineModel(double Speed, std::size_t Slots, std::size_t CachedPrefixes)
      : m_Speed(Speed), m_Slots(Slots), m_CachedPrefixes(CachedPrefixes) {}

  void setSlowness(double Slowness) { m_Slowness = Slowness; }
  void enqueue(std::size_t Index, const Request &What);
  /// Starts the next waiting request, if a place is free.
  std::optional<StartedRequest> startNext(const std::vector<Request> &All);
  void finishRequest() { --m_Running; }
  /// \returns false when it does not wait here.
  bool cancelWaiting(std::size_t Index, const Request &What);

  bool hasPrefix(std::uint64_t Prefix) const;
  std::size_t load() const { return m_Running + m_Waiting.size(); }

private:
  double m_Speed;
  double m_Slowness = 1;
  std::size_t m_Slots;
  std::size_t m_CachedPrefixes;
  std::size_t m_Running = 0;
  std::map<std::pair<std::uint32_t, std::size_t>, std::size_t> m_Waiting;
  std::list<std::uint64_t> m_Cache;
};

} // namespace yardrill::bench

#endif
