//===-- ModelEngine.h - Stand-in for a model engine -----------------------===//
#ifndef YARDRILL_TESTS_STANDINS_MODELENGINE_H
#define YARDRILL_TESTS_STANDINS_MODELENGINE_H

#include "StandIn.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <list>
#include <map>
#include <memory>

namespace yardrill::standins {

/// Capacity and speed of a ModelEngine, set by the flags of the program.
struct ModelEngineSettings {
  std::size_t m_Slots = 8;           ///< Requests that run at the same time.
  double m_DecodeRate = 200;         ///< Output tokens per second and request.
  double m_PrefillRate = 20000;      ///< Prompt tokens per second and request.
  std::size_t m_CachedPrefixes = 16; ///< Capacity of the prefix cache.
};

/// Serves OpenAI-style completions with a limited number of slots, a queue
/// ordered by priority and an LRU cache of prompt prefixes, and cancels a
/// request when its caller disconnects. The text of a response depends on the
/// prompt alone, so a test can tell which request a response belongs to.
///
/// Further calls:
/// - GET /load returns the numbers of running and waiting requests, as they
///   were lag_ms ago.
/// - GET /cache_events?after=N returns the cache events after number N that are
///   at least lag_ms old, without every gap_every-th one.
/// - GET /v1/completions/ID resumes a stream after the event that
///   Last-Event-ID names; a job without a reader lives for linger_ms.
/// - DELETE /v1/completions/ID cancels a request.
class ModelEngine final : public StandIn {
public:
  ModelEngine(boost::asio::io_context &Context, ModelEngineSettings Settings)
      : StandIn(Context), m_Settings(Settings) {}

  /// Returns token \p Index, counted from 0, of the response to \p Prompt.
  static std::string tokenOf(const std::string &Prompt, std::size_t Index);

protected:
  void handle(http::Exchange &Call, boost::asio::yield_context Yield) override;
  void applySettings(const boost::json::object &Settings) override;
  boost::json::object counters() const override;

private:
  using Clock = std::chrono::steady_clock;
  /// A completion request and the state of its execution.
  struct Job;
  struct LoadSample {
    Clock::time_point m_At;
    std::size_t m_Running = 0;
    std::size_t m_Waiting = 0;
  };
  struct CacheEvent {
    Clock::time_point m_At;
    std::string m_Kind;   ///< "stored" or "evicted".
    std::string m_Prefix; ///< Its SHA-256 in hex.
  };

  std::shared_ptr<Job> startJob(const http::RequestMessage &Request);
  /// Runs a job until it is complete, aborted or cancelled, independently of
  /// its readers.
  void runJob(const std::shared_ptr<Job> &Current,
              boost::asio::yield_context Yield);
  /// Waits for a free slot; returns without one when the job is cancelled.
  void acquireSlot(const std::shared_ptr<Job> &Current,
                   boost::asio::yield_context Yield);
  /// Hands the slot to the first waiting job, or frees it.
  void releaseSlot();
  /// Sleeps for the time that the uncached part of the prompt takes.
  void prefill(Job &Current, boost::asio::yield_context Yield);
  /// Sends the tokens from \p Next on as server-sent events.
  void sendStream(http::Exchange &Call, const std::shared_ptr<Job> &Current,
                  std::size_t Next, boost::asio::yield_context Yield);
  void sendCompleteResponse(http::Exchange &Call,
                            const std::shared_ptr<Job> &Current,
                            boost::asio::yield_context Yield);
  /// Cancels an unfinished job after the linger time unless a reader comes.
  void handleReaderDisconnect(const std::shared_ptr<Job> &Current);
  void resumeOrCancel(http::Exchange &Call, const std::string &Id,
                      boost::asio::yield_context Yield);
  /// Marks the prefix of \p Prompt as the most recently used one. \returns
  /// whether it was cached before.
  bool touchPrefix(const std::string &Prompt);
  /// Appends the present load to the history from which delayedLoad() reads.
  void recordLoad();
  boost::json::object delayedLoad() const;
  boost::json::object delayedCacheEvents(std::size_t After) const;

  ModelEngineSettings m_Settings;
  double m_SlowdownFactor = 1; ///< Multiplies prefill and decode times.
  /// Number of tokens after which every response is aborted; negative: never.
  std::int64_t m_BreakAfterTokens = -1;
  /// Time that an unfinished job outlives its last reader.
  std::int64_t m_LingerMilliseconds = 0;
  /// Age that load samples and cache events have when they are reported.
  std::int64_t m_LagMilliseconds = 0;
  /// Leaves out cache events whose number is a multiple of this; 0: none.
  std::int64_t m_OmitEveryNthEvent = 0;
  std::size_t m_BusySlots = 0;
  /// Jobs without a slot by priority; the lowest number runs first.
  std::multimap<std::int64_t, std::shared_ptr<Job>> m_Waiting;
  std::map<std::string, std::shared_ptr<Job>> m_Jobs; ///< By request id.
  std::list<std::string> m_Cache; ///< Prefixes, most recently used first.
  std::deque<LoadSample> m_LoadHistory;
  std::vector<CacheEvent> m_CacheEvents;
  std::size_t m_Started = 0;
  std::size_t m_Finished = 0;
  std::size_t m_Cancelled = 0;
  std::size_t m_Resumed = 0;
  std::size_t m_PrefillTokens = 0;
};

} // namespace yardrill::standins

#endif
