//===-- ContentDigest.h - What a request asks, however often it comes -----===//
#ifndef YARDRILL_LIBQUARANTINE_CONTENTDIGEST_H
#define YARDRILL_LIBQUARANTINE_CONTENTDIGEST_H

#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <tuple>

namespace yardrill::quarantine {

/// What makes two attempts the same request: who asks, and what a target would
/// run. Ids, deadlines and where a stream goes on differ between attempts.
struct Content {
  std::string_view m_Account; ///< Of the client; empty: none.
  std::string_view m_Host;
  std::string_view m_Method;
  std::string_view m_Target; ///< Path and query as sent.
  std::string_view m_Body;
};

/// 128 bits of SHA-256 (FIPS 180-4): nobody can make a request whose digest is
/// that of another client account's.
struct ContentDigest {
  std::uint64_t m_High = 0;
  std::uint64_t m_Low = 0;

  static ContentDigest of(const Content &What);
  /// \returns nothing when \p Text is not what toString() gives.
  static std::optional<ContentDigest> parse(std::string_view Text);
  /// 32 lower-case hex digits.
  std::string toString() const;

  bool operator==(const ContentDigest &Other) const {
    return m_High == Other.m_High && m_Low == Other.m_Low;
  }
  bool operator<(const ContentDigest &Other) const {
    return std::tie(m_High, m_Low) < std::tie(Other.m_High, Other.m_Low);
  }
};

std::ostream &operator<<(std::ostream &Out, const ContentDigest &Digest);

} // namespace yardrill::quarantine

/// All bits of a digest are alike.
template <> struct std::hash<yardrill::quarantine::ContentDigest> {
  std::size_t
  operator()(const yardrill::quarantine::ContentDigest &Digest) const {
    return static_cast<std::size_t>(Digest.m_Low);
  }
};

#endif
