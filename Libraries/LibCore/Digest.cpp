#include "LibCore/Digest.h"

#include "LibCore/Error.h"

#include <cstring>
#include <memory>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace yardrill::core {

static const unsigned char *bytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

static std::string sha256(std::string_view Text) {
  std::string Out(SHA256_DIGEST_LENGTH, '\0');
  SHA256(bytes(Text), Text.size(),
         reinterpret_cast<unsigned char *>(Out.data()));
  return Out;
}

std::string sha256Hex(std::string_view Text) { return toHex(sha256(Text)); }

static void addLengthPrefixed(EVP_MD_CTX &Hash, std::string_view Part) {
  unsigned char Size[sizeof(std::uint64_t)];
  for (std::size_t I = 0; I < sizeof Size; ++I)
    Size[I] = static_cast<unsigned char>(std::uint64_t(Part.size()) >> (8 * I));
  EVP_DigestUpdate(&Hash, Size, sizeof Size);
  EVP_DigestUpdate(&Hash, Part.data(), Part.size());
}

std::string
sha256LengthPrefixed(std::initializer_list<std::string_view> Parts) {
  // Fetched once, as a lookup is as slow as hashing a kilobyte.
  static EVP_MD *const Sha256 = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> Hash(EVP_MD_CTX_new(),
                                                               EVP_MD_CTX_free);
  std::string Out(SHA256_DIGEST_LENGTH, '\0');
  EVP_DigestInit_ex2(Hash.get(), Sha256, nullptr);
  for (std::string_view Part : Parts)
    addLengthPrefixed(*Hash, Part);
  EVP_DigestFinal_ex(Hash.get(), reinterpret_cast<unsigned char *>(Out.data()),
                     nullptr);
  return Out;
}

std::string hmacSha256(std::string_view Key, std::string_view Text) {
  std::string Out(SHA256_DIGEST_LENGTH, '\0');
  unsigned Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()), bytes(Text),
       Text.size(), reinterpret_cast<unsigned char *>(Out.data()), &Size);
  return Out;
}

bool isEqualConstantTime(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

std::string toHex(std::string_view Bytes) {
  static const char Digits[] = "0123456789abcdef";
  std::string Out;
  Out.reserve(Bytes.size() * 2);
  for (unsigned char C : Bytes) {
    Out += Digits[C >> 4];
    Out += Digits[C & 15];
  }
  return Out;
}

static int hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

std::string fromHex(std::string_view Hex) {
  std::string Out;
  if (Hex.size() % 2 != 0)
    return Out;
  for (std::size_t I = 0; I < Hex.size(); I += 2) {
    int High = hexDigit(Hex[I]);
    int Low = hexDigit(Hex[I + 1]);
    if (High < 0 || Low < 0)
      return {};
    Out += static_cast<char>(High << 4 | Low);
  }
  return Out;
}

std::string toBase64(std::string_view Bytes) {
  std::string Out((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  int Size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                             bytes(Bytes), static_cast<int>(Bytes.size()));
  Out.resize(static_cast<std::size_t>(Size));
  return Out;
}

std::string fromBase64(std::string_view Text) {
  std::string Out(Text.size() / 4 * 3 + 3, '\0');
  int Size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                             bytes(Text), static_cast<int>(Text.size()));
  if (Size < 0 || Text.size() % 4 != 0)
    throw Error(ErrorKind::Protocol, "text is not base64");
  std::size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Out.resize(static_cast<std::size_t>(Size) - Padding);
  return Out;
}

std::uint64_t randomBits() {
  std::uint64_t Bits = 0;
  if (RAND_bytes(reinterpret_cast<unsigned char *>(&Bits), sizeof Bits) != 1)
    throw Error(ErrorKind::Unavailable, "random generator failed");
  return Bits;
}

std::uint32_t fnv1a32(std::string_view Text) {
  std::uint32_t Out = 2166136261U;
  for (char C : Text) {
    Out ^= static_cast<unsigned char>(C);
    Out *= 16777619U;
  }
  return Out;
}

std::uint64_t stableHash(std::string_view Text) {
  std::string Digest = sha256(Text);
  std::uint64_t Bits = 0;
  for (int I = 0; I < 8; ++I)
    Bits = Bits << 8 | static_cast<unsigned char>(Digest[I]);
  return Bits;
}

} // namespace yardrill::core
