#pragma once

#include <string_view>

/// Names of the HTTP header fields that comfreyrill defines; see
/// docs/interfaces.md.
namespace comfreyrill::header {

inline constexpr std::string_view TimeoutMilliseconds =
    "Comfreyrill-Timeout-Ms";
inline constexpr std::string_view DeadlineMilliseconds =
    "Comfreyrill-Deadline-Ms";
inline constexpr std::string_view IdempotencyKey = "Idempotency-Key";
inline constexpr std::string_view Depth = "Comfreyrill-Depth";
inline constexpr std::string_view Outcome = "Comfreyrill-Outcome";
inline constexpr std::string_view Reason = "Comfreyrill-Reason";
inline constexpr std::string_view RequestId = "Comfreyrill-Request-Id";
inline constexpr std::string_view Target = "Comfreyrill-Target";
inline constexpr std::string_view NextKey = "Comfreyrill-Next-Key";
inline constexpr std::string_view Load = "Comfreyrill-Load";
inline constexpr std::string_view Draining = "Comfreyrill-Draining";
inline constexpr std::string_view Shed = "Comfreyrill-Shed";
/// Marks a request that another host relayed, so that it is not relayed again.
inline constexpr std::string_view Relayed = "Comfreyrill-Relayed";

} // namespace comfreyrill::header
