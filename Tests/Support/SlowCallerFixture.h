//===-- SlowCallerFixture.h - A gateway whose callers don't read ----------===//
#ifndef YARDRILL_TESTS_SUPPORT_SLOWCALLERFIXTURE_H
#define YARDRILL_TESTS_SUPPORT_SLOWCALLERFIXTURE_H

#include "GatewayFixture.h"
#include "LargeResponseTarget.h"

namespace yardrill::tests {

/// Runs a gateway before a target of large responses, and sends requests whose
/// responses nobody reads.
class SlowCallerFixture : public GatewayFixture {
protected:
  static constexpr std::size_t Slots = 4; ///< As announced by the fixture.
  /// Objective of the fixture's routes.
  static constexpr std::chrono::milliseconds Objective{300};

  std::unique_ptr<LargeResponseTarget> m_Target;
  asio::io_context m_CallerContext;
  std::vector<std::unique_ptr<tcp::socket>> m_SlowCallers;

public:
  void tearDown() override {
    m_SlowCallers.clear();
    GatewayFixture::tearDown();
  }

protected:
  void destroyTargets() override {
    GatewayFixture::destroyTargets();
    m_Target.reset();
  }
  void startGateway() {
    m_Target = std::make_unique<LargeResponseTarget>(m_Context);
    announce(1, m_Target->port(), Slots);
    start();
  }
  /// Sends a request that has to be served within the objective.
  void sendShortInTime() {
    auto Begin = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT_EQUAL(200U, send(request("/once/short")).m_Status);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Begin < Objective);
  }
  /// Sends requests one after the other on one connection and reads nothing.
  tcp::socket &sendWithoutReading(const std::string &Path,
                                  std::size_t Count = 1) {
    std::string Bytes;
    for (; Count > 0; --Count) {
      http::RequestMessage Message = request(Path);
      Bytes += "POST " + Path + " HTTP/1.1\r\nContent-Length: " +
               std::to_string(Message.m_Body.size()) + "\r\n";
      for (const http::Header &Each : Message.m_Headers)
        Bytes += Each.m_Name + ": " + Each.m_Value + "\r\n";
      Bytes += "\r\n" + Message.m_Body;
    }
    m_SlowCallers.push_back(std::make_unique<tcp::socket>(m_CallerContext));
    tcp::socket &Out = *m_SlowCallers.back();
    Out.open(tcp::v4());
    Out.set_option(asio::socket_base::receive_buffer_size(16384));
    Out.connect({asio::ip::make_address("127.0.0.1"),
                 static_cast<std::uint16_t>(m_CallerPort)});
    asio::write(Out, asio::buffer(Bytes));
    return Out;
  }
};

} // namespace yardrill::tests

#endif
