#pragma once

#include <LibCore/Error.h>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace comfreyrill {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// A value or a typed error. Observing the wrong side ends the process, because
/// that is a programming error.
template <typename T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

} // namespace comfreyrill

/// Returns the error of an expression to the caller, or binds its value.
#define TRY(...) BOOST_OUTCOME_TRY(__VA_ARGS__)
/// The same inside a coroutine.
#define CO_TRY(...) BOOST_OUTCOME_CO_TRY(__VA_ARGS__)
