#include "HttpServerSession.h"

namespace comfreyrill {

namespace {

// The parsed header of an open request is not part of its body or of the read
// buffer, and a caller can make it as large as the limit allows.
std::uint64_t headerBytes(const HttpRequest &Request) {
  std::uint64_t Bytes = Request.target().size();
  for (const auto &Field : Request)
    Bytes += sizeof(Field) + Field.name_string().size() + Field.value().size();
  return Bytes;
}

} // namespace

void HttpServer::servePipelined(const std::shared_ptr<Session> &ActiveSession) {
  const bool IsWatched =
      HangUps->watch(ActiveSession->Socket.native_handle(),
                     [WeakServer = weak_from_this(),
                      WeakSession = std::weak_ptr(ActiveSession)] {
                       const auto Server = WeakServer.lock();
                       const auto Left = WeakSession.lock();
                       if (Server && Left)
                         Server->handleHangUp(Left);
                     });
  if (!IsWatched) {
    // Without the watch, requests of a caller that has left would keep running.
    ActiveSession->close();
    Sessions.erase(ActiveSession);
    return;
  }
  advance(ActiveSession);
}

void HttpServer::advance(const std::shared_ptr<Session> &ActiveSession) {
  Session &Active = *ActiveSession;
  if (Active.IsFinishing)
    return;
  while (const auto Number = beginNext(Active.Pipeline)) {
    ++ActiveRequests;
    ++Active.RunningHandlers;
    asio::co_spawn(
        Context,
        [Self = shared_from_this(), ActiveSession,
         Begun = Active.Requests.find(*Number)->second] {
          return Self->runHandler(ActiveSession, Begun);
        },
        asio::detached);
  }
  if (!Active.IsWriting && !Active.Pipeline.Open.empty() &&
      Active.Pipeline.Open.front().Progress == RequestProgress::Answered) {
    Active.IsWriting = true;
    asio::co_spawn(
        Context,
        [Self = shared_from_this(), ActiveSession] {
          return Self->writeResponses(ActiveSession);
        },
        asio::detached);
  }
  if (!Active.IsReading && mayRead(Active.Pipeline, isDraining())) {
    Active.IsReading = true;
    asio::co_spawn(
        Context,
        [Self = shared_from_this(), ActiveSession] {
          return Self->readRequests(ActiveSession);
        },
        asio::detached);
  }
  const bool IsOver = Active.Pipeline.IsReadingEnded &&
                      Active.Pipeline.Open.empty() && !Active.IsReading &&
                      !Active.IsWriting && Active.RunningHandlers == 0;
  if (!IsOver || Active.IsFinishing)
    return;
  Active.IsFinishing = true;
  // Callers iterate over the sessions, from which the end of this one erases
  // it.
  asio::post(Context, [Self = shared_from_this(), ActiveSession] {
    if (ActiveSession->Socket.is_open())
      Self->HangUps->forget(ActiveSession->Socket.native_handle());
    asio::co_spawn(
        Self->Context,
        [Self, ActiveSession] { return Self->finish(*ActiveSession); },
        asio::detached);
  });
}

Awaitable<void>
HttpServer::readRequests(std::shared_ptr<Session> ActiveSession) {
  Session &Active = *ActiveSession;
  Active.BufferShare.hold(0);
  while (mayRead(Active.Pipeline, isDraining()) &&
         co_await readNext(ActiveSession))
    advance(ActiveSession);
  Active.Parser.reset();
  Active.MessageSince.reset();
  Active.BufferShare.hold(Active.Buffer.capacity());
  Active.IsReading = false;
  advance(ActiveSession);
}

Awaitable<bool>
HttpServer::readNext(const std::shared_ptr<Session> &ActiveSession) {
  Session &Active = *ActiveSession;
  if (Active.Buffer.size() == 0 && Active.Buffer.capacity() > IdleBufferBytes)
    Active.Buffer.shrink_to_fit();
  Active.MessageSince.reset();
  if (Active.Buffer.size() > 0)
    Active.MessageSince = TimeSource.now();
  else if (Active.Pipeline.Open.empty())
    Active.enter(SessionPhase::Idle, TimeSource.now());
  Active.IsRejected = false;
  auto &Parser = Active.Parser.emplace();
  Parser.header_limit(Limits.HeaderBytes);
  Parser.body_limit(Limits.BodyBytes);
  const auto Added =
      std::make_shared<OpenRequest>(Memory, Active.CallerAddress);
  const auto ReadError = co_await readRequest(Active, Added->RequestShare);
  if (Active.Pipeline.IsReadingEnded)
    co_return false;
  if (ReadError == http::error::end_of_stream ||
      ReadError == http::error::partial_message) {
    handleHangUp(ActiveSession);
    co_return false;
  }
  std::optional<std::uint64_t> Number;
  if (!ReadError) {
    const bool KeepAlive = Parser.keep_alive();
    Added->Request = Parser.release();
    Added->RequestShare.hold(Added->Request.body().size() +
                             headerBytes(Added->Request));
    Number = addRequest(Active.Pipeline, MayRunConcurrently(Added->Request),
                        KeepAlive);
  } else if (ReadError == boost::system::errc::not_enough_memory ||
             ReadError == boost::system::errc::operation_canceled ||
             ReadError.category() ==
                 make_error_code(http::error::end_of_stream).category()) {
    Active.HasUnreadRequest = true;
    Added->RequestShare.hold(0);
    Added->Response = respondToReadError(ReadError);
    Number = addErrorResponse(Active.Pipeline);
  } else {
    closeSession(ActiveSession);
    co_return false;
  }
  Active.Parser.reset();
  Added->Number = *Number;
  Active.Requests.emplace(*Number, Added);
  co_return true;
}

Awaitable<void> HttpServer::runHandler(std::shared_ptr<Session> ActiveSession,
                                       std::shared_ptr<OpenRequest> Running) {
  HttpResponse Response =
      co_await HandleRequest(std::move(Running->Request), Running->CallerLeft);
  Running->CallerLeft->onOccurrence(nullptr);
  --ActiveRequests;
  --ActiveSession->RunningHandlers;
  Running->RequestShare.hold(0);
  if (markAnswered(ActiveSession->Pipeline, Running->Number)) {
    Running->Response = std::move(Response);
    Running->ResponseShare.hold(Running->Response.body().size());
  }
  advance(ActiveSession);
}

Awaitable<void>
HttpServer::writeResponses(std::shared_ptr<Session> ActiveSession) {
  Session &Active = *ActiveSession;
  while (const auto Turn = beginWriting(Active.Pipeline, isDraining())) {
    const auto Entry = Active.Requests.find(Turn->Number);
    const auto Written = Entry->second;
    Active.Requests.erase(Entry);
    if (!Turn->KeepAlive)
      endReading(Active);
    Written->Response.keep_alive(Turn->KeepAlive);
    Active.WriteSince = TimeSource.now();
    const auto [WriteError, WrittenBytes] =
        co_await http::async_write(Active.Socket, Written->Response, UseTuple);
    // The session may have been closed in the meantime.
    if (WriteError || Active.Pipeline.Open.empty()) {
      closeSession(ActiveSession);
      break;
    }
    endWriting(Active.Pipeline);
    if (Active.Pipeline.Open.empty())
      Active.enter(SessionPhase::Idle, TimeSource.now());
    advance(ActiveSession);
  }
  Active.IsWriting = false;
  advance(ActiveSession);
}

// The caller may still be sending the request that is not read any more.
void HttpServer::endReading(Session &ActiveSession) {
  ActiveSession.Pipeline.IsReadingEnded = true;
  if (ActiveSession.hasPartialRequest())
    ActiveSession.HasUnreadRequest = true;
  ActiveSession.ReadCancellation.emit(asio::cancellation_type::terminal);
}

void HttpServer::cancel(Session &ActiveSession,
                        const std::vector<std::uint64_t> &Numbers) {
  std::vector<std::shared_ptr<Disconnect>> Cancelled;
  for (const std::uint64_t Number : Numbers)
    Cancelled.push_back(
        ActiveSession.Requests.find(Number)->second->CallerLeft);
  // Requests that are no longer in the pipeline give their memory back.
  std::erase_if(ActiveSession.Requests, [&](const auto &Entry) {
    return !isOpen(ActiveSession.Pipeline, Entry.first);
  });
  for (const auto &CallerLeft : Cancelled)
    CallerLeft->notify();
}

void HttpServer::handleHangUp(const std::shared_ptr<Session> &ActiveSession) {
  if (ActiveSession->HasCallerLeft || ActiveSession->IsFinishing)
    return;
  ActiveSession->HasCallerLeft = true;
  endReading(*ActiveSession);
  cancel(*ActiveSession, cancelRequests(ActiveSession->Pipeline));
  advance(ActiveSession);
}

void HttpServer::closeSession(const std::shared_ptr<Session> &ActiveSession) {
  if (!MayRunConcurrently) {
    ActiveSession->close();
    return;
  }
  if (ActiveSession->Socket.is_open())
    HangUps->forget(ActiveSession->Socket.native_handle());
  ActiveSession->close();
  cancel(*ActiveSession, abandonRequests(ActiveSession->Pipeline));
  advance(ActiveSession);
}

void HttpServer::rejectPartialRequest(Session &ActiveSession) {
  if (!ActiveSession.IsReading || ActiveSession.IsRejected ||
      ActiveSession.Pipeline.IsReadingEnded ||
      !ActiveSession.hasPartialRequest())
    return;
  ActiveSession.IsRejected = true;
  ActiveSession.ReadCancellation.emit(asio::cancellation_type::terminal);
}

// A request that does not arrive in time takes only the responses behind it
// with it: those before it are still sent.
void HttpServer::sweepPipelined(const std::shared_ptr<Session> &ActiveSession,
                                TimePoint Now) {
  Session &Active = *ActiveSession;
  // As with sequential requests, the time of a message begins with the first
  // sweep that finds bytes of it.
  if (Active.IsReading && !Active.MessageSince &&
      (Active.Buffer.size() > 0 ||
       (Active.Parser && Active.Parser->got_some())))
    Active.MessageSince = Now;
  const bool IsBusy = !Active.Pipeline.Open.empty() ||
                      Active.RunningHandlers > 0 || Active.IsWriting;
  const bool IsReadSlow = Active.IsReading && Active.MessageSince &&
                          Now - *Active.MessageSince > Limits.MessageTime;
  const bool IsWriteSlow =
      Active.IsWriting && Now - Active.WriteSince > Limits.MessageTime;
  const bool IsIdle = Active.Phase == SessionPhase::Idle && !IsBusy &&
                      !Active.MessageSince &&
                      Now - Active.PhaseSince > Limits.IdleTime;
  if (IsWriteSlow || IsIdle || (IsReadSlow && !IsBusy) ||
      isDiscardingOver(Active, Now))
    closeSession(ActiveSession);
  else if (IsReadSlow && !Active.Pipeline.IsReadingEnded)
    endReading(Active);
}

} // namespace comfreyrill
