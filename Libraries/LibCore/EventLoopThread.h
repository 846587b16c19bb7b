//===-- EventLoopThread.h - Thread that runs an event loop ----------------===//
#ifndef YARDRILL_LIBCORE_EVENTLOOPTHREAD_H
#define YARDRILL_LIBCORE_EVENTLOOPTHREAD_H

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <thread>

namespace yardrill::core {

/// Thread that runs an event loop. The owner's state is used on this thread
/// only; other threads send messages to it through an MPSCQueue.
class EventLoopThread {
public:
  explicit EventLoopThread(std::string Name);
  /// Stops the loop and joins the thread.
  ~EventLoopThread();
  EventLoopThread(const EventLoopThread &) = delete;
  EventLoopThread &operator=(const EventLoopThread &) = delete;

  boost::asio::io_context &context() { return m_Context; }
  void start();
  void stop();

  /// Makes the function by which an MPSCQueue's producers wake this thread.
  /// \param Drain runs on this thread after each call of that function.
  std::function<void()> makeWaker(std::function<void()> Drain);

private:
  void run();

  std::string m_Name;
  boost::asio::io_context m_Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_Guard;
  std::thread m_Thread;
};

} // namespace yardrill::core

#endif
