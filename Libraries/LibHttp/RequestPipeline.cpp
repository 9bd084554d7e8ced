#include <LibHttp/RequestPipeline.h>

#include <algorithm>

namespace comfreyrill {

namespace {

std::vector<std::uint64_t> runningRequests(const RequestPipeline &Pipeline) {
  std::vector<std::uint64_t> Running;
  for (const PipelinedRequest &Request : Pipeline.Open)
    if (Request.Progress == RequestProgress::Running)
      Running.push_back(Request.Number);
  return Running;
}

std::uint64_t append(RequestPipeline &Pipeline, PipelinedRequest Request) {
  Request.Number = Pipeline.NextNumber++;
  if (Request.ClosesConnection)
    Pipeline.IsReadingEnded = true;
  Pipeline.Open.push_back(Request);
  return Request.Number;
}

} // namespace

bool mayRead(const RequestPipeline &Pipeline, bool IsDraining) {
  if (Pipeline.IsReadingEnded || Pipeline.Open.size() >= OpenRequestsMaximum)
    return false;
  return Pipeline.Open.empty() ||
         (!IsDraining && Pipeline.Open.back().IsConcurrent);
}

std::optional<std::uint64_t> addRequest(RequestPipeline &Pipeline,
                                        bool IsConcurrent, bool KeepAlive) {
  if (Pipeline.IsReadingEnded)
    return std::nullopt;
  PipelinedRequest Request;
  Request.IsConcurrent = IsConcurrent;
  Request.ClosesConnection = !KeepAlive;
  return append(Pipeline, Request);
}

std::optional<std::uint64_t> addErrorResponse(RequestPipeline &Pipeline) {
  if (Pipeline.IsReadingEnded)
    return std::nullopt;
  PipelinedRequest Request;
  Request.ClosesConnection = true;
  Request.Progress = RequestProgress::Answered;
  return append(Pipeline, Request);
}

std::optional<std::uint64_t> beginNext(RequestPipeline &Pipeline) {
  for (std::size_t Index = 0; Index < Pipeline.Open.size(); ++Index) {
    PipelinedRequest &Request = Pipeline.Open[Index];
    if (Request.Progress == RequestProgress::Waiting) {
      if (Index > 0 && !Request.IsConcurrent)
        return std::nullopt;
      Request.Progress = RequestProgress::Running;
      return Request.Number;
    }
    if (!Request.IsConcurrent || Request.ClosesConnection)
      return std::nullopt;
  }
  return std::nullopt;
}

bool isOpen(const RequestPipeline &Pipeline, std::uint64_t Number) {
  return std::any_of(
      Pipeline.Open.begin(), Pipeline.Open.end(),
      [&](const PipelinedRequest &Open) { return Open.Number == Number; });
}

bool markAnswered(RequestPipeline &Pipeline, std::uint64_t Number) {
  const auto Request = std::find_if(
      Pipeline.Open.begin(), Pipeline.Open.end(),
      [&](const PipelinedRequest &Open) { return Open.Number == Number; });
  if (Request == Pipeline.Open.end() ||
      Request->Progress != RequestProgress::Running)
    return false;
  Request->Progress = RequestProgress::Answered;
  return true;
}

// The last open response closes a draining connection rather than the next one:
// callers then get a response to every request that has been read, and no work
// is cancelled.
std::optional<ResponseTurn> beginWriting(RequestPipeline &Pipeline,
                                         bool IsDraining) {
  if (Pipeline.Open.empty() ||
      Pipeline.Open.front().Progress != RequestProgress::Answered)
    return std::nullopt;
  PipelinedRequest &Request = Pipeline.Open.front();
  const bool IsLast =
      Pipeline.Open.size() == 1 && (IsDraining || Pipeline.IsReadingEnded);
  if (IsLast)
    Request.ClosesConnection = true;
  if (Request.ClosesConnection)
    Pipeline.IsReadingEnded = true;
  Request.Progress = RequestProgress::Writing;
  return ResponseTurn{Request.Number, !Request.ClosesConnection};
}

void endWriting(RequestPipeline &Pipeline) { Pipeline.Open.pop_front(); }

std::vector<std::uint64_t> cancelRequests(RequestPipeline &Pipeline) {
  Pipeline.IsReadingEnded = true;
  // A response behind a request that is not begun could not be written in
  // order.
  Pipeline.Open.erase(std::find_if(Pipeline.Open.begin(), Pipeline.Open.end(),
                                   [](const PipelinedRequest &Request) {
                                     return Request.Progress ==
                                            RequestProgress::Waiting;
                                   }),
                      Pipeline.Open.end());
  return runningRequests(Pipeline);
}

std::vector<std::uint64_t> abandonRequests(RequestPipeline &Pipeline) {
  Pipeline.IsReadingEnded = true;
  std::vector<std::uint64_t> Running = runningRequests(Pipeline);
  Pipeline.Open.clear();
  return Running;
}

} // namespace comfreyrill
