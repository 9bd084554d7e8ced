#include <Client/Commands.h>

#include <iostream>

namespace {

using namespace comfreyrill;

PlatformSettings platformSettings(const Arguments &Options) {
  PlatformSettings Settings;
  Settings.Endpoints = Options.Platforms;
  return Settings;
}

int run(const Arguments &Options) {
  asio::io_context Context;
  const SystemClock TimeSource;
  Random Generator = systemRandom();
  PlatformClient Platform(Context.get_executor(), TimeSource,
                          platformSettings(Options), systemRandom());
  ClientContext Command{
      Options,
      TimeSource,
      Generator,
      Platform,
      [](std::string_view Text) { std::cout << Text << std::flush; },
      [](std::string_view Text) { std::cerr << Text; },
      TimeSource.now() + Options.Timeout};
  ExitCode Code = ExitCode::Unavailable;
  asio::co_spawn(
      Context,
      [&]() -> Awaitable<void> {
        Code = co_await runCommand(Command);
        // Timers of idle connections would keep the process waiting.
        Context.stop();
      },
      asio::detached);
  Context.run();
  return static_cast<int>(Code);
}

} // namespace

int main(int Count, char **Words) {
  const auto Options = parseArguments({Words + 1, Words + Count});
  if (!Options) {
    std::cerr << Options.error().Message << "\n";
    return static_cast<int>(ExitCode::Usage);
  }
  return run(Options.value());
}
