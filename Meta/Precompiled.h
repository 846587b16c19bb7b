//===-- Precompiled.h - Precompiled header of all targets -----------------===//
//
// Contains headers that are slow to compile. Sources include what they use
// nevertheless, so that they compile without it.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_META_PRECOMPILED_H
#define YARDRILL_META_PRECOMPILED_H

#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#endif
