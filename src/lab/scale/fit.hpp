// Least squares for scaling sweeps: a line, a power law, and the size at which a line bends. Knows numbers
// only.
//
// Residuals are relative (each point is weighted by 1 / y^2): a sweep spans several powers of ten, and its
// timing noise is a share of the time.
#pragma once

#include <optional>
#include <vector>

namespace woadtide::lab::scale {

struct Observation {
  double size = 0;
  double value = 0;
};

struct Estimate {
  double value = 0;
  double standard_error = 0;
};

// value = intercept + slope * size
struct LineFit {
  Estimate intercept, slope;
  double covariance = 0;           // of intercept and slope
  double relative_residual = 0;    // root mean square of (fitted - observed) / observed
  Estimate at(double size) const;  // the fitted value, with the standard error of the fit (not of one point)
};

// value = factor * size ^ exponent
struct PowerFit {
  double factor = 0;
  Estimate exponent;
  double at(double size) const;
};

// Two lines that meet at `size`.
struct Bend {
  double size = 0;
  double slope_before = 0, slope_after = 0;
};

// Above this relative residual a line is taken not to fit: its value at another size says nothing.
constexpr double kMostResidual = 0.25;
// Below this relative residual a line is taken to fit exactly: no bend is sought in what is left.
constexpr double kResidualFloor = 0.01;
// By how much the Bayesian information criterion of the bent line must be below that of the straight one:
// more than 10 counts as very strong evidence (Kass and Raftery, 1995).
constexpr double kCriterionMargin = 10;
// A bend has this many points on either side, the one at the bend counted on both.
constexpr std::size_t kFewestPerSide = 3;
// A smaller relative change of slope is no bend, however sure it is.
constexpr double kLeastSlopeChange = 0.25;

// Throws std::invalid_argument for fewer than three observations, or fewer than two sizes.
LineFit fit_line(const std::vector<Observation>& observations);
// nullopt where a size or a value is not positive.
std::optional<PowerFit> fit_power(const std::vector<Observation>& observations);
// Tries a bend at each inner size; nullopt where none passes the rule above.
std::optional<Bend> find_bend(const std::vector<Observation>& observations);

}  // namespace woadtide::lab::scale
