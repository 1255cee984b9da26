// Least-squares fits for scaling sweeps: a line, a power law, and a two-segment line with its breakpoint.
//
// Residuals are relative (each point is weighted by 1 / y^2), because a sweep spans several orders of
// magnitude and timing noise is proportional to the time.
#pragma once

#include <optional>
#include <vector>

namespace woadtide::lab::scale {

// One data point of a fit.
struct Observation {
  double size = 0;
  double value = 0;
};

// A fitted parameter and its standard error.
struct Estimate {
  double value = 0;
  double standard_error = 0;
};

// The fitted line: value = intercept + slope * size.
struct LineFit {
  Estimate intercept, slope;
  double covariance = 0;         // of intercept and slope
  double relative_residual = 0;  // root mean square of (fitted - observed) / observed
  // The fitted value, with the standard error of the fit (not of a single observation).
  Estimate at(double size) const;
};

// The fitted power law: value = factor * size ^ exponent.
struct PowerFit {
  double factor = 0;
  Estimate exponent;
  // The fitted value.
  double at(double size) const;
};

// The breakpoint of a piecewise linear fit: two lines that meet at `size`.
struct Bend {
  double size = 0;
  double slope_before = 0, slope_after = 0;
};

// Above this relative residual the line does not fit, and its value at another size is meaningless.
constexpr double kMaxLineResidual = 0.25;
// Below this relative residual the line counts as exact, and no bend is sought in the rest.
constexpr double kMinResidual = 0.01;
// By how much the Bayesian information criterion of the bent line must be below that of the straight line: a
// difference of more than 10 is very strong evidence (Kass and Raftery, 1995).
constexpr double kMinCriterionGain = 10;
// Minimum number of points on either side of a bend; the point at the bend counts on both sides.
constexpr std::size_t kMinPointsPerSide = 3;
// A smaller relative change of slope is not reported as a bend, however significant it is.
constexpr double kMinRelativeSlopeChange = 0.25;

// Fits a line. Like the functions below, throws std::invalid_argument for fewer than three observations or
// fewer than two different sizes.
LineFit fit_line(const std::vector<Observation>& observations);
// Fits a power law; nullopt if a size or a value is not positive.
std::optional<PowerFit> fit_power(const std::vector<Observation>& observations);
// Tries a bend at each inner size and returns the best one; nullopt if none meets the limits above.
std::optional<Bend> find_bend(const std::vector<Observation>& observations);

}  // namespace woadtide::lab::scale
