#include <LibPlatform/PlatformAnswer.h>

#include <charconv>

namespace comfreyrill {

namespace {

std::string_view versionTag(const HttpResponse &Response) {
  const auto Field = Response.find(http::field::etag);
  if (Field == Response.end())
    return {};
  return {Field->value().data(), Field->value().size()};
}

bool isRefusal(http::status Status) {
  return Status == http::status::service_unavailable ||
         Status == http::status::too_many_requests;
}

Error unexpectedStatus(const HttpResponse &Response) {
  const bool IsServerFault = Response.result_int() >= 500;
  return {IsServerFault ? ErrorKind::Unavailable : ErrorKind::InvalidInput,
          "the platform responded with status " +
              std::to_string(Response.result_int()) +
              (IsServerFault ? "; try again later"
                             : ", which the object API does not use here; "
                               "check the platform's address")};
}

} // namespace

Result<ObjectVersion> parseVersionTag(std::string_view Text) {
  ObjectVersion Version;
  if (Text.size() > 2 && Text.front() == '"' && Text.back() == '"') {
    const char *End = Text.data() + Text.size() - 1;
    const auto [Position, Code] =
        std::from_chars(Text.data() + 1, End, Version.Value);
    if (Code == std::errc() && Position == End && Version.Value > 0)
      return Version;
  }
  return Error{ErrorKind::InvalidInput,
               "the platform's response has no version such as \"43\" in its "
               "ETag; check the platform's address"};
}

std::string formatVersionTag(ObjectVersion Version) {
  return "\"" + std::to_string(Version.Value) + "\"";
}

Result<std::optional<StoredObject>> interpretRead(HttpResponse Response) {
  if (Response.result() == http::status::ok) {
    TRY(ObjectVersion Version, parseVersionTag(versionTag(Response)));
    return std::optional(StoredObject{Version, std::move(Response.body())});
  }
  if (Response.result() == http::status::not_modified)
    return std::optional<StoredObject>();
  if (Response.result() == http::status::not_found)
    return Error{ErrorKind::NotFound,
                 "the platform has no such object; apply a manifest first, or "
                 "wait until a host has written it"};
  if (isRefusal(Response.result()))
    return Error{ErrorKind::Unavailable,
                 "the platform temporarily refuses calls; try again later"};
  return unexpectedStatus(Response);
}

// Status 503 or 429 means that the platform refused the update without
// executing it. Any other status that is not part of the API may come from an
// intermediary and leaves the outcome of the update unknown.
UpdateResult interpretUpdate(const HttpResponse &Response) {
  const auto Version = parseVersionTag(versionTag(Response));
  if (Response.result() == http::status::ok) {
    if (!Version)
      return {UpdateOutcome::Unknown, {}, Version.error()};
    return {UpdateOutcome::Stored, Version.value(), std::nullopt};
  }
  if (Response.result() == http::status::precondition_failed)
    return {UpdateOutcome::Conflict,
            Version ? Version.value() : ObjectVersion{},
            Error{ErrorKind::Conflict, "the object has another version; read "
                                       "it and repeat the change"}};
  if (isRefusal(Response.result()))
    return {UpdateOutcome::Unavailable,
            {},
            Error{ErrorKind::Unavailable,
                  "the platform temporarily refuses calls; try again later"}};
  if (Response.result() == http::status::payload_too_large)
    return {UpdateOutcome::Unavailable,
            {},
            Error{ErrorKind::TooLarge, "the value exceeds the size limit of "
                                       "the platform; make it smaller"}};
  return {UpdateOutcome::Unknown, {}, unexpectedStatus(Response)};
}

} // namespace comfreyrill
