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
  ClientContext CommandContext{
      Options,
      TimeSource,
      Generator,
      Platform,
      [](std::string_view Text) { std::cout << Text << std::flush; },
      [](std::string_view Text) { std::cerr << Text; },
      TimeSource.now() + Options.Timeout,
      [] {
        std::string Line;
        std::getline(std::cin, Line);
        return Line;
      }};
  ExitCode Code = ExitCode::Unavailable;
  asio::co_spawn(
      Context,
      [&]() -> Awaitable<void> {
        Code = co_await runCommand(CommandContext);
        // Without this, timers of idle connections would keep run() from
        // returning.
        Context.stop();
      },
      asio::detached);
  Context.run();
  return static_cast<int>(Code);
}

} // namespace

int main(int Argc, char **Argv) {
  const auto Options = parseArguments({Argv + 1, Argv + Argc});
  if (!Options) {
    std::cerr << Options.error().Message << "\n";
    return static_cast<int>(ExitCode::Usage);
  }
  return run(Options.value());
}
