#pragma once

#include <LibCore/Error.h>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace comfreyrill {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// A value or an Error. Accessing the one that is not there terminates the
/// process, because that is a programming error.
template <typename T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

} // namespace comfreyrill

/// Evaluates an expression of type Result; returns its error from the enclosing
/// function, or binds its value.
#define TRY(...) BOOST_OUTCOME_TRY(__VA_ARGS__)
/// TRY for use in a coroutine.
#define CO_TRY(...) BOOST_OUTCOME_CO_TRY(__VA_ARGS__)
