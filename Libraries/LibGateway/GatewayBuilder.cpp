//===-- GatewayBuilder.cpp - Builder of the gateway -----------------------===//
#include "LibGateway/Gateway.h"

#include <cassert>

namespace yardrill::gateway {

Gateway::Builder &Gateway::Builder::settings(GatewaySettings Settings) {
  m_Settings = std::move(Settings);
  return *this;
}

Gateway::Builder &Gateway::Builder::dialect(const Dialect &Wire) {
  m_Wire = &Wire;
  return *this;
}

Gateway::Builder &Gateway::Builder::store(platform::KeyValueService &Store) {
  m_Store = &Store;
  return *this;
}

std::unique_ptr<Gateway>
Gateway::Builder::build(boost::asio::io_context &Context) {
  assert(m_Wire && m_Store);
  return std::unique_ptr<Gateway>(
      new Gateway(Context, std::move(m_Settings), *m_Wire, *m_Store));
}

} // namespace yardrill::gateway
