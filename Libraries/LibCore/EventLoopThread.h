//===-- EventLoopThread.h - A thread for one duty
//------------------------------===//
#ifndef YARDRILL_LIBCORE_EVENTLOOPTHREAD_H
#define YARDRILL_LIBCORE_EVENTLOOPTHREAD_H

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <thread>

namespace yardrill::core {

/// Runs one event loop on one thread of its own. All state of the duty is
/// touched on that thread only; others reach it through a Ring.
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

  /// A Ring's wake hook: runs \p Drain on this thread.
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
