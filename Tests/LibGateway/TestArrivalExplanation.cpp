#include <LibGateway/ArrivalExplanation.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

Configuration configuration() {
  Configuration Made;
  Made.Version = {3};
  Route Only;
  Only.Name = "only";
  Only.Host = "a.example";
  Only.PathPrefix = "/x/";
  Only.Services = {{ServiceName("small"), 1}, {ServiceName("large"), 3}};
  Made.Routes = {Only};
  Made.Accounts = {{AccountName("alder"), std::nullopt, 100, 10}};
  EXPECT_TRUE(addKey(Made.Keys, "key-of-alder", 0));
  return Made;
}

ExplainedRequest request() {
  ExplainedRequest Made;
  Made.Method = "GET";
  Made.Host = "a.example";
  Made.Path = "/x/1";
  Made.Account = AccountName("alder");
  return Made;
}

std::string refusalOf(const Configuration *Active,
                      const ExplainedRequest &Request) {
  const ArrivalExplanation Result = explainArrival(Active, Request);
  return Result.Refusal ? std::to_string(Result.Refusal->Status) + " " +
                              std::string(Result.Refusal->Reason)
                        : "";
}

// Guards against an explanation that names another cause than the response to
// the real request would.
TEST(ArrivalExplanation, EachRefusalHasItsReason) {
  Configuration Active = configuration();
  EXPECT_EQ(refusalOf(nullptr, request()), "503 no_configuration");
  EXPECT_EQ(refusalOf(&Active, request()), "");
  ExplainedRequest Changed = request();
  Changed.Path = "/y/1";
  EXPECT_EQ(refusalOf(&Active, Changed), "404 no_route");
  Changed = request();
  Changed.BodyBytes = Active.Limits.BodyBytes + 1;
  EXPECT_EQ(refusalOf(&Active, Changed), "413 body_too_large");
  Changed = request();
  Changed.Account = AccountName("birch");
  EXPECT_EQ(refusalOf(&Active, Changed), "401 unknown_account");
  Changed.Account.reset();
  EXPECT_EQ(refusalOf(&Active, Changed), "401 missing_key");
  Changed.Key = "key-of-nobody";
  EXPECT_EQ(refusalOf(&Active, Changed), "401 unknown_key");
  Changed.Key = "key-of-alder";
  EXPECT_EQ(refusalOf(&Active, Changed), "");
  EXPECT_EQ(explainArrival(&Active, Changed).Account,
            &Active.Accounts->front());
  Active.Routes.front().IsPublic = true;
  Changed.Key.clear();
  EXPECT_EQ(refusalOf(&Active, Changed), "");
}

// Guards against the explanation of a service that gets few or no requests.
TEST(ArrivalExplanation, ServiceWithTheLargestShareIsExplained) {
  Configuration Active = configuration();
  Route &Only = Active.Routes.front();
  EXPECT_EQ(mainService(Only), 1U);
  for (WeightedService &Entry : Only.Services)
    Entry.Weight = 0;
  EXPECT_EQ(mainService(Only), std::nullopt);
}

} // namespace
} // namespace comfreyrill
