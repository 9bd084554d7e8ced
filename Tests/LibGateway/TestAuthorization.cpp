#include <LibGateway/Authorization.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

Configuration twoAccounts() {
  Configuration Made;
  Made.Accounts = {{AccountName("alder"), 0, 0, 0},
                   {AccountName("birch"), std::nullopt, 0, 0}};
  EXPECT_TRUE(addKey(Made.Keys, "k1", 0));
  EXPECT_TRUE(addKey(Made.Keys, "k2", 1));
  return Made;
}

// Guards against requests that run for an account that does not hold their key.
TEST(Authorization, KeysSelectTheirAccount) {
  const Configuration Active = twoAccounts();
  const Route Private;
  EXPECT_EQ(authorize(Active, Private, "k1").Account->Name,
            AccountName("alder"));
  EXPECT_EQ(authorize(Active, Private, "k2").Account->Name,
            AccountName("birch"));
  EXPECT_EQ(authorize(Active, Private, "k").Verdict,
            AuthorizationVerdict::UnknownKey);
  EXPECT_EQ(authorize(Active, Private, "").Verdict,
            AuthorizationVerdict::MissingKey);
}

// Guards against refusing requests that need no key.
TEST(Authorization, PublicRoutesAndOtherConfigurationsNeedNoKey) {
  Route Public;
  Public.IsPublic = true;
  const Configuration Active = twoAccounts();
  EXPECT_EQ(authorize(Active, Public, "").Verdict,
            AuthorizationVerdict::Allowed);
  EXPECT_EQ(authorize(Active, Public, "k3").Verdict,
            AuthorizationVerdict::Allowed);
  EXPECT_EQ(authorize(Configuration(), Route(), "k1").Verdict,
            AuthorizationVerdict::Allowed);
}

// Guards against an account with one key twice, which a later configuration
// could take away from one of two accounts only.
TEST(Authorization, KeysBelongToOneAccount) {
  AccountKeys Keys;
  EXPECT_TRUE(addKey(Keys, "k1", 0));
  EXPECT_FALSE(addKey(Keys, "k1", 1));
  EXPECT_FALSE(addKey(Keys, "", 1));
  EXPECT_EQ(findAccount(Keys, "k1"), 0U);
}

// Guards against serving an urgent account by the priority of its route.
TEST(Authorization, PriorityOfTheAccountGoesFirst) {
  Route Selected;
  Selected.Priority = 2;
  const Configuration Active = twoAccounts();
  EXPECT_EQ(effectivePriority(Selected, &Active.Accounts->front()), 0U);
  EXPECT_EQ(effectivePriority(Selected, &Active.Accounts->back()), 2U);
  EXPECT_EQ(effectivePriority(Selected, nullptr), 2U);
}

} // namespace
} // namespace comfreyrill
