#include "trayrock/internal/decide/lapse_rule.h"

namespace trayrock {
namespace {

// Far more than fail or leave together for reasons of their own: up to half of
// a service is replaced in a release, one by one, and a data centre that is
// lost takes a third.
constexpr double lapsed_share = 0.75;
// Of fewer records nothing can be told.
constexpr std::size_t least_records = 3;

}  // namespace

bool lapsed_at_once(std::size_t removed, std::size_t known) {
  return known >= least_records &&
         static_cast<double>(removed) >=
             static_cast<double>(known) * lapsed_share;
}

}  // namespace trayrock
