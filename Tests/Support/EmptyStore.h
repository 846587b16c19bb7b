//===-- EmptyStore.h - Mock store without entries -------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_EMPTYSTORE_H
#define YARDRILL_TESTS_SUPPORT_EMPTYSTORE_H

#include "LibPlatform/KeyValueService.h"

namespace yardrill::tests {

/// Base class of mock stores that override only some calls.
class EmptyStore : public platform::KeyValueService {
public:
  std::vector<platform::Entry> readPrefix(const std::string &,
                                          platform::CallClass,
                                          boost::asio::yield_context) override {
    return {};
  }
  std::optional<platform::Entry> read(const std::string &, platform::CallClass,
                                      boost::asio::yield_context) override {
    return std::nullopt;
  }
  platform::SwapResult compareAndSwap(const platform::CompareAndSwap &,
                                      platform::CallClass,
                                      boost::asio::yield_context) override {
    return {};
  }
  platform::LeaseId grantLease(std::chrono::seconds, platform::CallClass,
                               boost::asio::yield_context) override {
    return platform::LeaseId(1);
  }
  bool keepAlive(platform::LeaseId, boost::asio::yield_context) override {
    return true;
  }
  void revoke(platform::LeaseId, boost::asio::yield_context) override {}
  void watch(const std::string &, platform::Revision,
             const std::function<bool(const std::vector<platform::Entry> &)> &,
             boost::asio::yield_context) override {}
  platform::Revision lastRevision() const override {
    return platform::Revision();
  }
};

} // namespace yardrill::tests

#endif
