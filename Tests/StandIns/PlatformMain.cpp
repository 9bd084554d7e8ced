#include "Platform.h"

#include <csignal>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

constexpr const char *Usage =
    R"(Test server for the platform's object API.

Usage:
  standin-platform [--listen ADDRESS] [--control ADDRESS] [--load KEY=FILE]...

Options:
  --listen ADDRESS   Address of the object API [default: 127.0.0.1:0].
  --control ADDRESS  Address of the control API [default: 127.0.0.1:0].
  --load KEY=FILE    Object to store at the start, read from a file.

The first line of the output contains both addresses as JSON.
)";

} // namespace

int main(int Count, char **Arguments) {
  using namespace comfreyrill;
  const auto Options =
      docopt::docopt(Usage, {Arguments + 1, Arguments + Count});
  asio::io_context Context(1);
  const SystemClock TimeSource;
  const auto Server =
      std::make_shared<standins::Platform>(Context.get_executor(), TimeSource);
  for (const auto &Entry : Options.at("--load").asStringList()) {
    const std::size_t Equals = Entry.find('=');
    std::ifstream File(Equals == std::string::npos ? ""
                                                   : Entry.substr(Equals + 1));
    if (!File) {
      std::cerr << "cannot read '" << Entry << "'; use KEY=FILE\n";
      return 2;
    }
    std::stringstream Value;
    Value << File.rdbuf();
    Server->store().update(Entry.substr(0, Equals), Value.str(), {});
  }
  const auto Objects = parseEndpoint(Options.at("--listen").asString());
  const auto Control = parseEndpoint(Options.at("--control").asString());
  if (!Objects || !Control) {
    std::cerr << (Objects ? Control : Objects).error().Message << "\n";
    return 2;
  }
  if (const auto Listening = Server->listen(Objects.value(), Control.value());
      !Listening) {
    std::cerr << Listening.error().Message << "\n";
    return 1;
  }
  std::cout << boost::json::serialize(boost::json::value{
                   {"listen", formatEndpoint(Server->objectsEndpoint())},
                   {"control", formatEndpoint(Server->controlEndpoint())}})
            << std::endl;
  asio::signal_set Signals(Context, SIGINT, SIGTERM);
  Signals.async_wait([&](const boost::system::error_code &, int) {
    Server->close();
    Context.stop();
  });
  Context.run();
  return 0;
}
