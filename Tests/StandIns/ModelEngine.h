//===-- ModelEngine.h - A small model engine ------------------------------===//
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

struct ModelEngineSettings {
  std::size_t m_Slots = 8;
  double m_DecodeRate = 200;    ///< Tokens a second of one stream.
  double m_PrefillRate = 20000; ///< Tokens a second.
  std::size_t m_CachedPrefixes = 16;
};

/// Serves OpenAI-style completions: a number of places, waiting by priority, a
/// bounded prefix cache, cancellation when its caller hangs up. The text of an
/// answer depends on the prompt alone, so a test can tell whose answer it got.
///
/// Besides: GET /load (running and waiting, some time old), GET
/// /cache_events?after=N (late, with gaps), GET /v1/completions/ID with
/// Last-Event-ID (resumes a stream within linger_ms of its loss) and DELETE of
/// it (cancels).
class ModelEngine final : public StandIn {
public:
  ModelEngine(boost::asio::io_context &Context, ModelEngineSettings Settings)
      : StandIn(Context), m_Settings(Settings) {}

  /// The i-th token of the answer to \p Prompt.
  static std::string tokenOf(const std::string &Prompt, std::size_t Index);

protected:
  void handle(http::Exchange &Call, boost::asio::yield_context Yield) override;
  void applySettings(const boost::json::object &Settings) override;
  boost::json::object counters() const override;

private:
  using Clock = std::chrono::steady_clock;
  struct Job;
  struct LoadSample {
    Clock::time_point m_At;
    std::size_t m_Running = 0;
    std::size_t m_Waiting = 0;
  };
  struct CacheEvent {
    Clock::time_point m_At;
    std::string m_Kind; ///< "stored" or "evicted".
    std::string m_Prefix;
  };

  std::shared_ptr<Job> startJob(const http::RequestMessage &Request);
  /// Runs a job to its end, whoever reads it.
  void runJob(const std::shared_ptr<Job> &Current,
              boost::asio::yield_context Yield);
  void acquireSlot(const std::shared_ptr<Job> &Current,
                   boost::asio::yield_context Yield);
  void releaseSlot();
  void prefill(Job &Current, boost::asio::yield_context Yield);
  void sendStream(http::Exchange &Call, const std::shared_ptr<Job> &Current,
                  std::size_t Next, boost::asio::yield_context Yield);
  void sendCompleteResponse(http::Exchange &Call,
                            const std::shared_ptr<Job> &Current,
                            boost::asio::yield_context Yield);
  void handleReaderDisconnect(const std::shared_ptr<Job> &Current);
  void resumeOrCancel(http::Exchange &Call, const std::string &Id,
                      boost::asio::yield_context Yield);
  bool touchPrefix(const std::string &Prompt);
  void recordLoad();
  boost::json::object delayedLoad() const;
  boost::json::object delayedCacheEvents(std::size_t After) const;

  ModelEngineSettings m_Settings;
  double m_SlowdownFactor = 1;
  /// Every answer breaks off after so many tokens; negative: never.
  std::int64_t m_BreakAfterTokens = -1;
  std::int64_t m_LingerMilliseconds = 0;
  std::int64_t m_LagMilliseconds = 0; ///< Of load and cache events.
  std::int64_t m_OmitEveryNthEvent =
      0; ///< Each so many-th cache event is left out.
  std::size_t m_BusySlots = 0;
  std::multimap<std::int64_t, std::shared_ptr<Job>> m_Waiting;
  std::map<std::string, std::shared_ptr<Job>> m_Jobs; ///< By request id.
  std::list<std::string> m_Cache;
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
