//===-- Precompiled.h - Costly headers, compiled once ---------------------===//
//
// Sources still include what they use; this file only makes that cheap.
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
