//===-- Digest.h - Hashes, encodings and random bits ----------------------===//
#ifndef YARDRILL_LIBCORE_DIGEST_H
#define YARDRILL_LIBCORE_DIGEST_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace yardrill::core {

/// SHA-256 (FIPS 180-4) as 64 lower-case hex digits.
std::string sha256Hex(std::string_view Text);

/// SHA-256 over several texts, 32 raw bytes. Each text is preceded by its
/// length as 64 bits in little-endian order, so that different lists hash
/// different input.
std::string sha256LengthPrefixed(std::initializer_list<std::string_view> Parts);

/// HMAC-SHA-256 (RFC 2104), 32 raw bytes.
std::string hmacSha256(std::string_view Key, std::string_view Text);

/// Compares two texts in a time that does not depend on where they differ.
bool isEqualConstantTime(std::string_view A, std::string_view B);

std::string toHex(std::string_view Bytes);
/// Returns the bytes, or an empty string when \p Hex is not an even number of
/// hex digits.
std::string fromHex(std::string_view Hex);

std::string toBase64(std::string_view Bytes);
/// \throws Error of kind Protocol when \p Text is not base64 (RFC 4648).
std::string fromBase64(std::string_view Text);

/// Returns 64 bits from OpenSSL's random generator.
/// \throws Error of kind Unavailable when it fails.
std::uint64_t randomBits();

/// First 64 bits of SHA-256, the same on every machine and in every release.
std::uint64_t stableHash(std::string_view Text);
/// 32-bit FNV-1a, the same in all processes. Much faster than stableHash(), but
/// not resistant to deliberate collisions.
std::uint32_t fnv1a32(std::string_view Text);

} // namespace yardrill::core

#endif
