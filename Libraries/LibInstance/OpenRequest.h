//===-- OpenRequest.h - One request between its caller and its target -----===//
#ifndef YARDRILL_LIBINSTANCE_OPENREQUEST_H
#define YARDRILL_LIBINSTANCE_OPENREQUEST_H

#include "LibCore/Timer.h"
#include "LibInstance/TrafficThread.h"

#include <deque>
#include <optional>
#include <string>

namespace yardrill::instance {

/// Lives in its caller's coroutine from the request's arrival to the end of
/// its answer, and does what the decision core says.
class OpenRequest {
public:
  OpenRequest(TrafficThread &Traffic, http::Exchange &Caller,
              ParsedRequest Request);
  ~OpenRequest();
  OpenRequest(const OpenRequest &) = delete;
  OpenRequest &operator=(const OpenRequest &) = delete;

  /// Returns when the answer is complete or the caller is gone.
  void run(boost::asio::yield_context Yield);
  /// An action for this request, on the traffic thread.
  void handleAction(decision::Action What);

private:
  /// \returns true when nothing more will come for this request.
  bool perform(const decision::Action &What, boost::asio::yield_context Yield);
  bool dispatch(const decision::Dispatch &What,
                boost::asio::yield_context Yield);
  bool refuse(const decision::Refuse &What, boost::asio::yield_context Yield);
  void forward(const decision::Forward &What, boost::asio::yield_context Yield);
  void sendStoredResponse(core::RequestId Original,
                          boost::asio::yield_context Yield);

  decision::ResponseOutcome runAtTarget(http::ClientConnection &Target,
                                        boost::asio::yield_context Yield);
  /// Passes an answer on, piece by piece. \throws core::Error as the
  /// connection does; a caller who is gone only sets m_IsCallerDisconnected.
  void relay(http::ClientConnection &From, boost::asio::yield_context Yield);
  void sendToCaller(const std::function<void()> &Send);
  void recordBodyData(const std::string &Data);
  void handleCallerDisconnect();
  void failRequest(decision::RefusalKind Kind,
                   boost::asio::yield_context Yield);
  void sendProblem(const Problem &What, boost::asio::yield_context Yield);
  /// \param Kind of a refusal; without one the line names the target.
  void logLine(const char *Event, const char *Kind = nullptr) const;
  void finish(const std::string &Outcome);

  TrafficThread &m_Traffic;
  http::Exchange &m_Caller;
  ParsedRequest m_Request;
  core::RequestId m_Id;
  std::string m_PrintableId;
  metrics::RequestLabels m_Labels;
  core::Timer m_WakeTimer;
  std::deque<decision::Action> m_Actions;
  core::TimePoint m_ArrivedAt;
  core::TimePoint m_LastBodyDataAt{};
  http::ClientConnection *m_Target = nullptr;
  core::TargetName m_TargetName;
  bool m_IsCallerDisconnected = false;
  bool m_IsEvicted = false;
  bool m_IsForwarded = false;
  bool m_IsStoringResponse = false; ///< The answer is being stored.
  bool m_IsTooLargeToStore = false;
  http::ResponseMessage m_ResponseToStore;
  std::uint32_t m_OutputTokens = 0;
  unsigned m_Status = 0;
};

} // namespace yardrill::instance

#endif
