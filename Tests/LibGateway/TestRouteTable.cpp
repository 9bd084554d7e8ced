#include <LibGateway/RouteTable.h>

#include <gtest/gtest.h>
#include <map>

namespace comfreyrill {
namespace {

Route makeRoute(std::string Name, std::string Host, std::string Prefix) {
  Route Made;
  Made.Name = std::move(Name);
  Made.Host = std::move(Host);
  Made.PathPrefix = std::move(Prefix);
  Made.Services = {{ServiceName("stock"), 1}};
  return Made;
}

Configuration twoHosts() {
  Configuration Made;
  Made.Routes = {makeRoute("all", "a.example", "/"),
                 makeRoute("short", "a.example", "/x/"),
                 makeRoute("long", "a.example", "/x/y/"),
                 makeRoute("other", "b.example", "/x/y/z/")};
  return Made;
}

std::string routeOf(std::string_view Host, std::string_view Path) {
  const Configuration Active = twoHosts();
  const Route *Found = findRoute(Active, Host, Path);
  return Found == nullptr ? "" : Found->Name;
}

// Guards against sending a request to the service of another route.
TEST(RouteTable, LongestPrefixOfTheHostWins) {
  EXPECT_EQ(routeOf("a.example", "/x/y/1"), "long");
  EXPECT_EQ(routeOf("a.example", "/x/yy"), "short");
  EXPECT_EQ(routeOf("a.example", "/x/y/z/1"), "long");
  EXPECT_EQ(routeOf("b.example", "/x/y/z/1"), "other");
  EXPECT_EQ(routeOf("a.example", "/x"), "all");
}

TEST(RouteTable, UnknownHostsAndPathsHaveNoRoute) {
  EXPECT_EQ(routeOf("c.example", "/x/"), "");
  EXPECT_EQ(routeOf("b.example", "/x/"), "");
  EXPECT_EQ(routeOf("", ""), "");
}

// Guards against treating the query as part of the path and against
// distinguishing hosts by case or port.
TEST(RouteTable, QueryPortAndCaseDoNotMatter) {
  EXPECT_EQ(routeOf("A.Example:8080", "/x/y/?q=/x/y/z/"), "long");
  EXPECT_EQ(routeOf("a.example", "/?/x/y/"), "all");
}

// Guards against a traffic split that does not follow the weights.
TEST(RouteTable, ServicesAreChosenByWeight) {
  Route Split;
  Split.Services = {{ServiceName("one"), 90},
                    {ServiceName("two"), 10},
                    {ServiceName("none"), 0}};
  Random Generator(20261204);
  std::map<std::string, int> Counts;
  for (int Round = 0; Round < 10'000; ++Round)
    ++Counts[chooseService(Split, Generator)->Value];
  EXPECT_NEAR(Counts["one"], 9000, 200);
  EXPECT_NEAR(Counts["two"], 1000, 200);
  EXPECT_EQ(Counts["none"], 0);
}

TEST(RouteTable, NoServiceIsChosenWithoutAPositiveWeight) {
  Route Split;
  Split.Services = {{ServiceName("one"), 0}};
  Random Generator(1);
  EXPECT_EQ(chooseService(Split, Generator), nullptr);
}

} // namespace
} // namespace comfreyrill
