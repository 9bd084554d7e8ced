#include <Client/ErrorReport.h>

#include <LibJson/JsonText.h>

namespace comfreyrill {

namespace json = boost::json;

ExitCode reportError(ClientContext &Context, const Error &Cause) {
  if (Context.Options.Json)
    Context.PrintError(prettyJson(
        json::object{{"error", std::string(errorKindName(Cause.Kind))},
                     {"message", Cause.Message}}));
  else
    Context.PrintError(Cause.Message + "\n");
  return exitCodeOf(Cause.Kind);
}

} // namespace comfreyrill
