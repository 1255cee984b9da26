#include "lab/scale/fit.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <limits>
#include <set>
#include <stdexcept>
#include <utility>

namespace woadtide::lab::scale {

namespace {

constexpr std::size_t kFewestObservations = 3;
constexpr double kTinyPivot = 1e-300;

// A weighted least-squares problem of K columns.
template <std::size_t K>
struct Problem {
  struct Row {
    std::array<double, K> columns;
    double value;
    double weight;
  };
  std::vector<Row> rows;
};

template <std::size_t K>
struct Solution {
  std::array<double, K> parameters{};
  std::array<std::array<double, K>, K> covariance{};
  double residual = 0;  // weighted sum of squares
};

// Gauss-Jordan with pivoting.
template <std::size_t K>
std::array<std::array<double, K>, K> inverse_of(std::array<std::array<double, K>, K> matrix) {
  std::array<std::array<double, K>, K> inverse{};
  for (std::size_t i = 0; i < K; ++i) inverse[i][i] = 1;
  for (std::size_t column = 0; column < K; ++column) {
    std::size_t pivot = column;
    for (std::size_t row = column + 1; row < K; ++row)
      if (std::abs(matrix[row][column]) > std::abs(matrix[pivot][column])) pivot = row;
    if (std::abs(matrix[pivot][column]) < kTinyPivot) throw std::invalid_argument("fit: sizes are all alike");
    std::swap(matrix[column], matrix[pivot]);
    std::swap(inverse[column], inverse[pivot]);
    const double scale = matrix[column][column];
    for (std::size_t k = 0; k < K; ++k) matrix[column][k] /= scale, inverse[column][k] /= scale;
    for (std::size_t row = 0; row < K; ++row) {
      if (row == column) continue;
      const double factor = matrix[row][column];
      for (std::size_t k = 0; k < K; ++k) {
        matrix[row][k] -= factor * matrix[column][k];
        inverse[row][k] -= factor * inverse[column][k];
      }
    }
  }
  return inverse;
}

template <std::size_t K>
Solution<K> solve(const Problem<K>& problem) {
  std::array<std::array<double, K>, K> normal{};
  std::array<double, K> right{};
  for (const auto& row : problem.rows)
    for (std::size_t i = 0; i < K; ++i) {
      right[i] += row.weight * row.columns[i] * row.value;
      for (std::size_t j = 0; j < K; ++j) normal[i][j] += row.weight * row.columns[i] * row.columns[j];
    }
  const auto inverse = inverse_of(normal);
  Solution<K> solution;
  for (std::size_t i = 0; i < K; ++i)
    for (std::size_t j = 0; j < K; ++j) solution.parameters[i] += inverse[i][j] * right[j];
  for (const auto& row : problem.rows) {
    double fitted = 0;
    for (std::size_t i = 0; i < K; ++i) fitted += solution.parameters[i] * row.columns[i];
    solution.residual += row.weight * (fitted - row.value) * (fitted - row.value);
  }
  const std::size_t freedom = problem.rows.size() > K ? problem.rows.size() - K : 0;
  const double variance = freedom > 0 ? solution.residual / static_cast<double>(freedom) : 0;
  for (std::size_t i = 0; i < K; ++i)
    for (std::size_t j = 0; j < K; ++j) solution.covariance[i][j] = variance * inverse[i][j];
  return solution;
}

double largest_size(const std::vector<Observation>& observations) {
  double largest = 0;
  for (const Observation& one : observations) largest = std::max(largest, std::abs(one.size));
  return largest > 0 ? largest : 1;
}

// 1 / y^2; where all values may be 0, those count as 1.
double weight_of(const Observation& one) {
  const double value = one.value != 0 ? std::abs(one.value) : 1;
  return 1 / (value * value);
}

// Sizes are divided by `scale`, which keeps the normal equations well conditioned.
Solution<2> solve_line(const std::vector<Observation>& observations, double scale) {
  Problem<2> problem;
  for (const Observation& one : observations)
    problem.rows.push_back({{1, one.size / scale}, one.value, weight_of(one)});
  return solve(problem);
}

Solution<3> solve_bent(const std::vector<Observation>& observations, double scale, double bend) {
  Problem<3> problem;
  for (const Observation& one : observations) {
    const double beyond = std::max(0.0, one.size - bend);
    problem.rows.push_back({{1, one.size / scale, beyond / scale}, one.value, weight_of(one)});
  }
  return solve(problem);
}

// The Bayesian information criterion, with residuals no smaller than the floor.
double criterion(double residual, std::size_t observations, int parameters) {
  const auto n = static_cast<double>(observations);
  const double mean_square = std::max(residual / n, kResidualFloor * kResidualFloor);
  return n * std::log(mean_square) + parameters * std::log(n);
}

void check(const std::vector<Observation>& observations) {
  std::set<double> sizes;
  for (const Observation& one : observations) sizes.insert(one.size);
  if (observations.size() < kFewestObservations || sizes.size() < 2)
    throw std::invalid_argument("fit: needs three observations at two sizes");
}

}  // namespace

Estimate LineFit::at(double size) const {
  const double variance = intercept.standard_error * intercept.standard_error + 2 * size * covariance +
                          size * size * slope.standard_error * slope.standard_error;
  return {intercept.value + slope.value * size, std::sqrt(std::max(variance, 0.0))};
}

double PowerFit::at(double size) const { return factor * std::pow(size, exponent.value); }

LineFit fit_line(const std::vector<Observation>& observations) {
  check(observations);
  const double scale = largest_size(observations);
  const Solution<2> solved = solve_line(observations, scale);
  LineFit fit;
  fit.intercept = {solved.parameters[0], std::sqrt(solved.covariance[0][0])};
  fit.slope = {solved.parameters[1] / scale, std::sqrt(solved.covariance[1][1]) / scale};
  fit.covariance = solved.covariance[0][1] / scale;
  fit.relative_residual = std::sqrt(solved.residual / static_cast<double>(observations.size()));
  return fit;
}

std::optional<PowerFit> fit_power(const std::vector<Observation>& observations) {
  check(observations);
  Problem<2> problem;
  for (const Observation& one : observations) {
    if (one.size <= 0 || one.value <= 0) return std::nullopt;
    problem.rows.push_back({{1, std::log(one.size)}, std::log(one.value), 1});
  }
  const Solution<2> solved = solve(problem);
  return PowerFit{std::exp(solved.parameters[0]), {solved.parameters[1], std::sqrt(solved.covariance[1][1])}};
}

std::optional<Bend> find_bend(const std::vector<Observation>& observations) {
  check(observations);
  const double scale = largest_size(observations);
  const std::size_t count = observations.size();
  const double straight = criterion(solve_line(observations, scale).residual, count, 2);
  std::set<double> sizes;
  for (const Observation& one : observations) sizes.insert(one.size);
  double best = std::numeric_limits<double>::infinity();
  Bend bend;
  std::size_t place = 0;
  for (const double size : sizes) {
    place += 1;
    if (place < kFewestPerSide || place + kFewestPerSide > sizes.size() + 1) continue;
    const Solution<3> solved = solve_bent(observations, scale, size);
    const double bent = criterion(solved.residual, count, 4);  // the place of the bend is a parameter too
    if (bent >= best) continue;
    best = bent;
    bend = {size, solved.parameters[1] / scale, (solved.parameters[1] + solved.parameters[2]) / scale};
  }
  const double change = std::abs(bend.slope_after - bend.slope_before);
  const bool changes = change > kLeastSlopeChange * std::abs(bend.slope_before);
  if (best + kCriterionMargin >= straight || !changes) return std::nullopt;
  return bend;
}

}  // namespace woadtide::lab::scale
