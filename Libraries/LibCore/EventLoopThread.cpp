#include "LibCore/EventLoopThread.h"

#include "LibCore/Log.h"

#include <boost/asio/post.hpp>
#include <pthread.h>

namespace yardrill::core {

EventLoopThread::EventLoopThread(std::string Name)
    : m_Name(std::move(Name)), m_Guard(m_Context.get_executor()) {}

EventLoopThread::~EventLoopThread() { stop(); }

void EventLoopThread::start() {
  m_Thread = std::thread([this] { run(); });
  // Linux limits thread names to 15 characters.
  pthread_setname_np(m_Thread.native_handle(), m_Name.substr(0, 15).c_str());
}

void EventLoopThread::stop() {
  m_Context.stop();
  if (m_Thread.joinable())
    m_Thread.join();
}

void EventLoopThread::run() {
  while (!m_Context.stopped()) {
    try {
      m_Context.run();
    } catch (const std::exception &Failure) {
      // An error in one handler must not end the loop for all others.
      LogLine("duty-failure", LogLevel::Error)
          .add("duty", m_Name)
          .add("reason", Failure.what());
    }
  }
}

std::function<void()> EventLoopThread::makeWaker(std::function<void()> Drain) {
  return
      [this, Drain = std::move(Drain)] { boost::asio::post(m_Context, Drain); };
}

} // namespace yardrill::core
