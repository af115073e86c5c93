// result<T>: a value or a std::error_code, as Boost.Outcome gives it.
//
// Example:
//   result<address> parsed = address::parse("127.0.0.1:7000");
//   if (!parsed) return parsed.error();
//   connect(parsed.value());
#pragma once

#include <boost/outcome/std_result.hpp>
#include <system_error>

#include "trayrock/errors.h"

namespace trayrock {

template <typename value_type>
using result = BOOST_OUTCOME_V2_NAMESPACE::std_result<value_type>;

}  // namespace trayrock
