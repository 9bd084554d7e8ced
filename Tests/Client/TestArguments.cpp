#include <Client/Arguments.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

// Guards against options that are ignored or stored in the wrong field.
TEST(Arguments, ParsesOptions) {
  const auto Parsed = parseArguments(
      {"apply", "--platform", "127.0.0.1:1", "--platform=127.0.0.1:2",
       "--host=[::1]:3", "--based-on=42", "--wait", "--timeout-ms=500",
       "--json", "m.json"});
  ASSERT_TRUE(Parsed.has_value()) << Parsed.error().Message;
  const Arguments &Out = Parsed.value();
  EXPECT_EQ(Out.Name, Command::Apply);
  EXPECT_EQ(Out.File, "m.json");
  EXPECT_EQ(Out.Platforms.size(), 2U);
  EXPECT_EQ(Out.Hosts, (std::vector<Endpoint>{{"::1", 3}}));
  EXPECT_EQ(Out.BasedOn, ManifestNumber{42});
  EXPECT_EQ(Out.Timeout, std::chrono::milliseconds(500));
  EXPECT_TRUE(Out.Wait && Out.Json && !Out.Follow);
  EXPECT_FALSE(parseArguments({"apply", "f"}).value().BasedOn.has_value());
  EXPECT_EQ(parseArguments({"log", "h1", "--follow"}).value().Host, "h1");
  EXPECT_EQ(parseArguments({"--help"}).value().Name, Command::Help);
}

// Guards against an invalid command line that ends the process or is accepted.
TEST(Arguments, RejectsInvalidCommandLines) {
  for (const std::vector<std::string> &Argv :
       std::vector<std::vector<std::string>>{{},
                                             {"aply", "f"},
                                             {"apply"},
                                             {"apply", "f", "--based-on=-1"},
                                             {"apply", "f", "--based-on=4x"},
                                             {"status", "--host=localhost:1"},
                                             {"status", "--timeout-ms=0"},
                                             {"drain"}}) {
    const auto Parsed = parseArguments(Argv);
    ASSERT_FALSE(Parsed.has_value());
    EXPECT_EQ(Parsed.error().Kind, ErrorKind::InvalidInput);
  }
}

} // namespace
} // namespace comfreyrill
