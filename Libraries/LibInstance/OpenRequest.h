//===-- OpenRequest.h - One request between its caller and its target -----===//
#ifndef YARDRILL_LIBINSTANCE_OPENREQUEST_H
#define YARDRILL_LIBINSTANCE_OPENREQUEST_H

#include "LibCore/Timer.h"
#include "LibInstance/TrafficThread.h"

#include <deque>
#include <optional>
#include <string>

namespace yardrill::instance {

/// Carries out the decision core's actions for one request, from its arrival to
/// the end of its response. TrafficThread creates it in the coroutine of the
/// caller's connection.
class OpenRequest {
public:
  OpenRequest(TrafficThread &Traffic, http::Exchange &Caller,
              ParsedRequest Request);
  ~OpenRequest();
  OpenRequest(const OpenRequest &) = delete;
  OpenRequest &operator=(const OpenRequest &) = delete;

  /// Returns when the request is completed, refused, dropped or has failed.
  void run(boost::asio::yield_context Yield);
  /// Handles a Cancel at once and queues any other action for run(). Called on
  /// the traffic thread.
  void handleAction(decision::Action CoreAction);
  /// Makes run() end the request: refused if no byte of it was sent to a
  /// target, else broken off with an unknown outcome.
  void breakOff();

private:
  /// Carries out an action of the decision core.
  /// \returns true when no further action follows for this request.
  bool perform(const decision::Action &CoreAction,
               boost::asio::yield_context Yield);
  bool dispatch(const decision::Dispatch &CoreAction,
                boost::asio::yield_context Yield);
  bool refuse(const decision::Refuse &CoreAction,
              boost::asio::yield_context Yield);
  void forward(const decision::Forward &CoreAction,
               boost::asio::yield_context Yield);
  void sendStoredResponse(core::RequestId Original,
                          boost::asio::yield_context Yield);

  /// Sends the request to a target and relays the response.
  decision::ResponseOutcome runAtTarget(http::ClientConnection &Target,
                                        boost::asio::yield_context Yield);
  /// Streams a response to the caller. \throws core::Error as the connection to
  /// the target does. A disconnected caller sets m_IsCallerDisconnected, and
  /// ends the relay only if the response is not being stored.
  void relay(http::ClientConnection &From, boost::asio::yield_context Yield);
  /// Calls \p Send unless the caller has disconnected.
  /// \throws core::Error when it disconnects now and the response is not being
  /// stored.
  void sendToCaller(const std::function<void()> &Send);
  /// Records latencies, counts output tokens, and collects the response if it
  /// is being stored.
  void recordBodyData(const std::string &Data);
  void handleCallerDisconnect();
  /// Whether the request may be sent: its caller is still there, or a repeat of
  /// the request would get the stored response. To be asked right before it is
  /// sent, with nothing that waits in between.
  bool maySend();
  /// Resets the caller's connection if a response has begun, else sends a
  /// problem.
  void failRequest(decision::RefusalKind Kind,
                   boost::asio::yield_context Yield);
  void sendProblem(const Problem &Details, boost::asio::yield_context Yield);
  /// \param Kind the kind of refusal; if null, the line names the target.
  void logLine(const char *Event, const char *Kind = nullptr) const;
  /// Records the outcome and total time in the metrics and the log.
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
  bool m_IsBrokenOff = false;
  bool m_IsForwarded = false;
  bool m_IsStoringResponse = false; ///< For repeats of the identity.
  bool m_IsTooLargeToStore = false;
  http::ResponseMessage m_ResponseToStore;
  std::uint32_t m_OutputTokens = 0;
  unsigned m_Status = 0;
};

} // namespace yardrill::instance

#endif
