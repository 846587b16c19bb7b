//===-- EngineModel.h - Deterministic model of an inference engine --------===//
//
// Models slots, a queue by tier, an LRU cache of prompt prefixes and a speed
// per engine. Batching effects are not modelled. Simulation drives it.
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

/// Tokens per second at speed 1.
inline constexpr double PrefillRate = 4000;
/// Tokens per second and stream at speed 1.
inline constexpr double DecodeRate = 40;

/// A request that an engine started, with its service times.
struct StartedRequest {
  std::size_t m_Request = 0;  ///< Index of the request.
  bool m_IsCached = false;    ///< Whether its prefix was cached.
  core::Duration m_Prefill{}; ///< Time to the first token.
  core::Duration m_Total{};
};

/// One engine. Requests are identified by their index in the workload.
class EngineModel {
public:
  /// \param Speed relative to PrefillRate and DecodeRate.
  EngineModel(double Speed, std::size_t Slots, std::size_t CachedPrefixes)
      : m_Speed(Speed), m_Slots(Slots), m_CachedPrefixes(CachedPrefixes) {}

  /// Sets a factor on the service times of requests started from now on.
  void setSlowness(double Slowness) { m_Slowness = Slowness; }
  void enqueue(std::size_t Index, const Request &Queued);
  /// Starts the first request in the queue if a slot is free.
  std::optional<StartedRequest> startNext(const std::vector<Request> &All);
  void finishRequest() { --m_Running; }
  /// Removes a request from the queue. \returns false if it is not queued.
  bool cancelWaiting(std::size_t Index, const Request &Queued);

  bool hasPrefix(std::uint64_t Prefix) const;
  /// Returns the number of running and queued requests.
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
