// Combines lambdas into one visitor for `std::visit`.
//
//   std::visit(overloaded{[](const owned& state) { ... },
//                         [](const moving& state) { ... }},
//              slice.state);

#ifndef BLUEBELL_CORE_OVERLOADED_H_
#define BLUEBELL_CORE_OVERLOADED_H_

namespace bluebell {

template <typename... Visitors>
struct overloaded : Visitors... {
  using Visitors::operator()...;
};

template <typename... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

}  // namespace bluebell

#endif  // BLUEBELL_CORE_OVERLOADED_H_
