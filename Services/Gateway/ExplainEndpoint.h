#pragma once

#include "Explanation.h"

#include <LibCore/Async.h>
#include <LibHttp/Http.h>

#include <functional>

namespace comfreyrill {

/// Limits on a request to explain: 16 KiB together.
inline constexpr std::uint32_t ExplainHeaderBytes = 4 * 1024;
inline constexpr std::uint64_t ExplainBodyBytes = std::uint64_t{12} * 1024;

/// True for any request to the path of the explanations.
bool isExplainRequest(const HttpRequest &Request);

/// Answers requests to explain a decision, one at a time.
class ExplainEndpoint {
public:
  using Explain = std::function<Explanation(const ExplainedRequest &Request)>;

  explicit ExplainEndpoint(Explain MakeExplanation);

  /// Never logs or returns the key of the request.
  Awaitable<HttpResponse> handle(HttpRequest Request);

private:
  Explain MakeExplanation;
  bool IsRunning = false;
};

} // namespace comfreyrill
