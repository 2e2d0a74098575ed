// The result of an operation that can fail: a value or an `error`.
//
//   result<address> peer = address::Parse(text);
//   if (!peer) {
//     return peer.error();
//   }
//   Connect(peer.value());

#ifndef BLUEBELL_CORE_RESULT_H_
#define BLUEBELL_CORE_RESULT_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>

#include "bluebell/core/error.h"

namespace bluebell {

// The behaviour is undefined if the value of a failed result, or the error of a
// successful one, is read.
template <typename Value>
using result = boost::outcome_v2::
    basic_result<Value, error, boost::outcome_v2::policy::all_narrow>;

}  // namespace bluebell

#endif  // BLUEBELL_CORE_RESULT_H_
