#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace comfreyrill {

/// Maximum number of requests of one connection that have been read and whose
/// responses have not been written.
inline constexpr std::size_t OpenRequestsMaximum = 8;

enum class RequestProgress {
  /// Read whole, not begun.
  Waiting,
  Running,
  /// Has its response, which waits for the ones before it.
  Answered,
  /// The response is being written.
  Writing,
};

/// A request that has been read whole, or an error response that takes the
/// place of one that could not be read.
struct PipelinedRequest {
  /// Position of the request on its connection.
  std::uint64_t Number = 0;
  /// May run beside the requests before and after it.
  bool IsConcurrent = false;
  /// Its response is the last one of the connection.
  bool ClosesConnection = false;
  RequestProgress Progress = RequestProgress::Waiting;
};

/// The open requests of one connection, in the order in which they arrived.
struct RequestPipeline {
  std::deque<PipelinedRequest> Open;
  std::uint64_t NextNumber = 0;
  /// No further request of this connection is read.
  bool IsReadingEnded = false;
};

/// The response that can be written now.
struct ResponseTurn {
  std::uint64_t Number = 0;
  bool KeepAlive = false;
};

/// Returns true if another request may be read. A draining connection reads no
/// request behind open ones, and nothing is read behind a request that must run
/// alone, because it could not be begun.
bool mayRead(const RequestPipeline &Pipeline, bool IsDraining);

/// Appends a request that has been read whole, and returns its number. Returns
/// nothing if reading has ended in the meantime: the request then counts as not
/// read.
std::optional<std::uint64_t> addRequest(RequestPipeline &Pipeline,
                                        bool IsConcurrent, bool KeepAlive);

/// Appends an error response in place of a request, and ends reading. Returns
/// nothing if reading has ended before.
std::optional<std::uint64_t> addErrorResponse(RequestPipeline &Pipeline);

/// Returns the next request that may run, which counts as running from now on.
/// A request that must run alone is begun after all responses before it have
/// been written.
std::optional<std::uint64_t> beginNext(RequestPipeline &Pipeline);

/// Returns true while the response of the request has not been written.
bool isOpen(const RequestPipeline &Pipeline, std::uint64_t Number);

/// Returns false if the request is not open any more, so that its response is
/// not to be sent.
bool markAnswered(RequestPipeline &Pipeline, std::uint64_t Number);

/// Returns the response that is to be written now; its request counts as being
/// written from now on. The last open response of a draining connection closes
/// it. A response that closes the connection ends reading.
std::optional<ResponseTurn> beginWriting(RequestPipeline &Pipeline,
                                         bool IsDraining);

/// Removes the request whose response has been written.
void endWriting(RequestPipeline &Pipeline);

/// Ends reading and removes the requests that have not begun, after the caller
/// has disconnected. Returns the numbers of the running ones, which are to be
/// cancelled; they stay open until they are answered.
std::vector<std::uint64_t> cancelRequests(RequestPipeline &Pipeline);

/// Ends reading and removes all requests, because no response can be written
/// any more. Returns the numbers of the running ones.
std::vector<std::uint64_t> abandonRequests(RequestPipeline &Pipeline);

} // namespace comfreyrill
