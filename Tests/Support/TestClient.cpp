#include "TestClient.h"

#include "LibCore/Error.h"
#include "LibHTTP/ClientConnection.h"

#include <boost/asio.hpp>
#include <thread>

namespace yardrill::tests {

namespace asio = boost::asio;
using asio::ip::tcp;

static const std::chrono::seconds CallTimeout(30);

static tcp::endpoint loopback(int Port) {
  return {asio::ip::make_address("127.0.0.1"),
          static_cast<std::uint16_t>(Port)};
}

std::string Reply::header(const std::string &Name) const {
  const std::string *Value = m_Headers.find(Name);
  return Value ? *Value : "";
}

std::string Reply::problem(const std::string &Member) const {
  boost::json::error_code Failure;
  boost::json::value Parsed = boost::json::parse(m_Body, Failure);
  if (Failure || !Parsed.is_object())
    return "";
  const auto *Value = Parsed.get_object().if_contains(Member);
  return Value && Value->is_string() ? std::string(Value->get_string()) : "";
}

static void exchange(asio::io_context &Context, int Port,
                     const http::RequestMessage &Request,
                     const std::function<bool(const std::string &)> &OnPiece,
                     Reply &Out, asio::yield_context Yield) {
  try {
    auto Connection = http::ClientConnection::connect(Context, loopback(Port),
                                                      CallTimeout, Yield);
    Connection->sendRequest(Request, CallTimeout, Yield);
    http::ResponseHead Head = Connection->readHead(CallTimeout, Yield);
    Out.m_Status = Head.m_Status;
    Out.m_Headers = Head.m_Headers;
    while (true) {
      std::string Piece = Connection->readBodyData(CallTimeout, Yield);
      if (Piece.empty())
        return;
      Out.m_Body += Piece;
      if (OnPiece && !OnPiece(Piece)) {
        Out.m_Failure = "closed by the test";
        return;
      }
    }
  } catch (const core::Error &Failure) {
    Out.m_Failure = Failure.what();
  }
}

Reply call(int Port, const http::RequestMessage &Request,
           const std::function<bool(const std::string &)> &OnPiece) {
  asio::io_context Context;
  Reply Out;
  asio::spawn(
      Context,
      [&](asio::yield_context Yield) {
        exchange(Context, Port, Request, OnPiece, Out, Yield);
      },
      asio::detached);
  Context.run();
  return Out;
}

std::future<Reply> callAsync(int Port, const http::RequestMessage &Request) {
  return std::async(std::launch::async,
                    [Port, Request] { return call(Port, Request); });
}

std::string sendRaw(int Port, const std::string &Bytes) {
  asio::io_context Context;
  tcp::socket Socket(Context);
  boost::system::error_code Failure;
  Socket.connect(loopback(Port), Failure);
  asio::write(Socket, asio::buffer(Bytes), Failure);
  std::string Out;
  while (!Failure) {
    char Buffer[4096];
    std::size_t Size = Socket.read_some(asio::buffer(Buffer), Failure);
    Out.append(Buffer, Size);
  }
  return Out;
}

static boost::json::object controlCall(int Port, const std::string &Method,
                                       const std::string &Body) {
  http::RequestMessage Request;
  Request.m_Method = Method;
  Request.m_Target = "/control";
  Request.m_Headers.set("Host", "stand-in");
  Request.m_Body = Body;
  return boost::json::parse(call(Port, Request).m_Body).as_object();
}

boost::json::object controlStandIn(int Port,
                                   const boost::json::object &Settings) {
  return controlCall(Port, "POST", boost::json::serialize(Settings));
}

boost::json::object countersOf(int Port) {
  return controlCall(Port, "GET", "");
}

bool eventually(const std::function<bool()> &Condition,
                std::chrono::milliseconds Timeout) {
  auto Until = std::chrono::steady_clock::now() + Timeout;
  while (std::chrono::steady_clock::now() < Until) {
    try {
      if (Condition())
        return true;
    } catch (const std::exception &) {
      // The server may not have started yet.
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

} // namespace yardrill::tests
