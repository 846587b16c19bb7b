//===-- ValuePatch.cpp - Binary differences between values ----------------===//
#include "LibGateway/ValuePatch.h"

#include "LibCore/Error.h"

#include <algorithm>
#include <cassert>
#include <memory>
#include <zstd.h>

namespace yardrill::gateway {

using core::Error;
using core::ErrorKind;

/// Fastest level. Level 9 takes three times the time and eighteen times the
/// memory for patches of about the same size.
static constexpr int Level = 1;
/// The window covers base and value: from 64 KB up to 32 MB, twice the largest
/// value that is accepted.
static constexpr int MinWindowBits = 16;
static constexpr int MaxWindowBits = 25;

static void check(std::size_t Result, ErrorKind Kind) {
  if (ZSTD_isError(Result))
    throw Error(Kind, ZSTD_getErrorName(Result));
}

static int windowBits(std::size_t Bytes) {
  int Bits = MinWindowBits;
  while (Bits < MaxWindowBits && (std::size_t(1) << Bits) < Bytes)
    ++Bits;
  return Bits;
}

std::string makePatch(std::string_view Base, std::string_view Value) {
  std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> Context(
      ZSTD_createCCtx(), &ZSTD_freeCCtx);
  auto Set = [&](ZSTD_cParameter Parameter, int Setting) {
    check(ZSTD_CCtx_setParameter(Context.get(), Parameter, Setting),
          ErrorKind::LimitExceeded);
  };
  Set(ZSTD_c_compressionLevel, Level);
  Set(ZSTD_c_windowLog, windowBits(Base.size() + Value.size()));
  // Finds long matches anywhere in the base.
  Set(ZSTD_c_enableLongDistanceMatching, 1);
  // Without a checksum, a patch applied to another base would go unnoticed.
  Set(ZSTD_c_checksumFlag, 1);
  check(ZSTD_CCtx_refPrefix(Context.get(), Base.data(), Base.size()),
        ErrorKind::LimitExceeded);
  std::string Out(ZSTD_compressBound(Value.size()), '\0');
  std::size_t Size = ZSTD_compress2(Context.get(), Out.data(), Out.size(),
                                    Value.data(), Value.size());
  check(Size, ErrorKind::LimitExceeded);
  Out.resize(Size);
  Out.shrink_to_fit();
  return Out;
}

std::string applyPatch(std::string_view Base, std::string_view Patch,
                       std::size_t MaxBytes) {
  unsigned long long Bytes =
      ZSTD_getFrameContentSize(Patch.data(), Patch.size());
  if (Bytes == ZSTD_CONTENTSIZE_ERROR || Bytes == ZSTD_CONTENTSIZE_UNKNOWN)
    throw Error(ErrorKind::Protocol,
                "patch is not a Zstandard frame with a content size");
  if (Bytes > MaxBytes)
    throw Error(ErrorKind::LimitExceeded,
                "value of the patch exceeds the size limit");
  std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> Context(
      ZSTD_createDCtx(), &ZSTD_freeDCtx);
  check(
      ZSTD_DCtx_setParameter(Context.get(), ZSTD_d_windowLogMax, MaxWindowBits),
      ErrorKind::Protocol);
  check(ZSTD_DCtx_refPrefix(Context.get(), Base.data(), Base.size()),
        ErrorKind::Protocol);
  std::string Out(Bytes, '\0');
  std::size_t Size = ZSTD_decompressDCtx(Context.get(), Out.data(), Out.size(),
                                         Patch.data(), Patch.size());
  check(Size, ErrorKind::Protocol);
  if (Size != Bytes)
    throw Error(ErrorKind::Protocol,
                "value of the patch is shorter than its header states");
  return Out;
}

} // namespace yardrill::gateway
