//===-- ModelEngine.h - A small model engine ------------------------------===//
#ifndef YARDRILL_TESTS_STANDINS_MODELENGINE_H
#define YARDRILL_TESTS_STANDINS_MODELENGINE_H

#include "StandIn.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>

namespace yardrill::standins {

struct ModelEngineSettings {
  std::size_t m_Places = 8;
  double m_DecodeRate = 200;    ///< Tokens a second of one stream.
  double m_PrefillRate = 20000; ///< Tokens a second.
  std::size_t m_CachedPrefixes = 16;
};

/// Serves OpenAI-style completions: a number of places, waiting by priority, a
/// bounded prefix cache, cancellation when its caller hangs up. The text of an
/// answer depends on the prompt alone, so a test can tell whose answer it got.
class ModelEngine final : public StandIn {
public:
  ModelEngine(boost::asio::io_context &Context, ModelEngineSettings Settings)
      : StandIn(Context), m_Settings(Settings) {}

  /// The i-th token of the answer to \p Prompt.
  static std::string tokenOf(const std::string &Prompt, std::size_t Index);

protected:
  void handle(http::Exchange &Call, boost::asio::yield_context Yield) override;
  void control(const boost::json::object &Settings) override;
  boost::json::object counters() const override;

private:
  struct Job;

  void waitForPlace(Job &Which, boost::asio::yield_context Yield);
  void leavePlace();
  void prefill(Job &Which, boost::asio::yield_context Yield);
  void answer(http::Exchange &Call, Job &Which,
              boost::asio::yield_context Yield);
  bool touchPrefix(const std::string &Prompt);

  ModelEngineSettings m_Settings;
  double m_Slowness = 1;
  /// Every answer breaks off after so many tokens; negative: never.
  std::int64_t m_BreakAfterTokens = -1;
  std::size_t m_Busy = 0;
  std::multimap<std::int64_t, Job *> m_Waiting;
  std::list<std::string> m_Cache;
  std::size_t m_Started = 0;
  std::size_t m_Finished = 0;
  std::size_t m_Cancelled = 0;
  std::size_t m_PrefillTokens = 0;
};

} // namespace yardrill::standins

#endif
