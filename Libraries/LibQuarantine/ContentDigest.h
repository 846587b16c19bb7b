//===-- ContentDigest.h - Digest of a request's content -------------------===//
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

/// The parts of a request that are the same in all its attempts: the client
/// account and what a target would run. Request ids, deadlines and the position
/// at which a stream resumes differ between attempts and are left out.
struct Content {
  std::string_view m_Account; ///< Name of the client account; empty: none.
  std::string_view m_Host;
  std::string_view m_Method;
  std::string_view m_Target; ///< Path and query as sent.
  std::string_view m_Body;
};

/// Identifies what a request may make targets exit by: its whole content, or a
/// part of its prompt that requests share.
///
/// Of a whole content, the first 128 bits of SHA-256 (FIPS 180-4): no client
/// can produce a request with the digest of another account's request and so
/// have that one quarantined. Of a part, its id and the pool, whatever the
/// account: a part does the same in the requests of all accounts.
struct ContentDigest {
  std::uint64_t m_High = 0;
  std::uint64_t m_Low = 0;

  static ContentDigest of(const Content &Parts);
  /// \param Pool hash of the pool's name.
  /// \param Part id of the part; hex digits are kept readable.
  static ContentDigest ofPart(std::uint32_t Pool, std::string_view Part);
  bool isPart() const;
  /// Parses 32 hex digits. \returns nothing if \p Text is anything else.
  static std::optional<ContentDigest> parse(std::string_view Text);
  /// Returns 32 lower-case hex digits.
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

/// Uses both halves: parts of one pool have the same low one.
template <> struct std::hash<yardrill::quarantine::ContentDigest> {
  std::size_t
  operator()(const yardrill::quarantine::ContentDigest &Digest) const {
    return static_cast<std::size_t>(Digest.m_High ^ Digest.m_Low);
  }
};

#endif
