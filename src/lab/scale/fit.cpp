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

constexpr std::size_t kMinObservations = 3;
constexpr double kMinPivot = 1e-300;

// A weighted linear least-squares problem with K parameters.
template <std::size_t K>
struct Problem {
  struct Row {
    std::array<double, K> columns;
    double value;
    double weight;
  };
  std::vector<Row> rows;
};

// The parameters that minimize the weighted sum of squares, and their covariance.
template <std::size_t K>
struct Solution {
  std::array<double, K> parameters{};
  std::array<std::array<double, K>, K> covariance{};
  double residual = 0;  // weighted sum of squares
};

// Gauss-Jordan elimination with partial pivoting.
template <std::size_t K>
std::array<std::array<double, K>, K> inverse_of(std::array<std::array<double, K>, K> matrix) {
  std::array<std::array<double, K>, K> inverse{};
  for (std::size_t i = 0; i < K; ++i) inverse[i][i] = 1;
  for (std::size_t column = 0; column < K; ++column) {
    std::size_t pivot = column;
    for (std::size_t row = column + 1; row < K; ++row)
      if (std::abs(matrix[row][column]) > std::abs(matrix[pivot][column])) pivot = row;
    if (std::abs(matrix[pivot][column]) < kMinPivot)
      throw std::invalid_argument("fit: the sizes do not determine the parameters");
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

// Solves the normal equations.
template <std::size_t K>
Solution<K> solve(const Problem<K>& problem) {
  std::array<std::array<double, K>, K> normal{};
  std::array<double, K> right_hand_side{};
  for (const auto& row : problem.rows)
    for (std::size_t i = 0; i < K; ++i) {
      right_hand_side[i] += row.weight * row.columns[i] * row.value;
      for (std::size_t j = 0; j < K; ++j) normal[i][j] += row.weight * row.columns[i] * row.columns[j];
    }
  const auto inverse = inverse_of(normal);
  Solution<K> solution;
  for (std::size_t i = 0; i < K; ++i)
    for (std::size_t j = 0; j < K; ++j) solution.parameters[i] += inverse[i][j] * right_hand_side[j];
  for (const auto& row : problem.rows) {
    double fitted = 0;
    for (std::size_t i = 0; i < K; ++i) fitted += solution.parameters[i] * row.columns[i];
    solution.residual += row.weight * (fitted - row.value) * (fitted - row.value);
  }
  const std::size_t degrees_of_freedom = problem.rows.size() > K ? problem.rows.size() - K : 0;
  const double variance =
      degrees_of_freedom > 0 ? solution.residual / static_cast<double>(degrees_of_freedom) : 0;
  for (std::size_t i = 0; i < K; ++i)
    for (std::size_t j = 0; j < K; ++j) solution.covariance[i][j] = variance * inverse[i][j];
  return solution;
}

double largest_size(const std::vector<Observation>& observations) {
  double largest = 0;
  for (const Observation& observation : observations) largest = std::max(largest, std::abs(observation.size));
  return largest > 0 ? largest : 1;
}

// 1 / y^2; a value of 0 counts as 1.
double weight_of(const Observation& observation) {
  const double value = observation.value != 0 ? std::abs(observation.value) : 1;
  return 1 / (value * value);
}

// Sizes are divided by `scale` to keep the normal equations well conditioned.
Solution<2> solve_line(const std::vector<Observation>& observations, double scale) {
  Problem<2> problem;
  for (const Observation& observation : observations)
    problem.rows.push_back({{1, observation.size / scale}, observation.value, weight_of(observation)});
  return solve(problem);
}

// A line whose slope changes at `bend`.
Solution<3> solve_segmented(const std::vector<Observation>& observations, double scale, double bend) {
  Problem<3> problem;
  for (const Observation& observation : observations) {
    const double excess = std::max(0.0, observation.size - bend);
    problem.rows.push_back(
        {{1, observation.size / scale, excess / scale}, observation.value, weight_of(observation)});
  }
  return solve(problem);
}

// The Bayesian information criterion, with the residual per point limited below by kMinResidual.
double information_criterion(double residual, std::size_t observations, int parameters) {
  const auto n = static_cast<double>(observations);
  const double mean_square = std::max(residual / n, kMinResidual * kMinResidual);
  return n * std::log(mean_square) + parameters * std::log(n);
}

void check_observations(const std::vector<Observation>& observations) {
  std::set<double> sizes;
  for (const Observation& observation : observations) sizes.insert(observation.size);
  if (observations.size() < kMinObservations || sizes.size() < 2)
    throw std::invalid_argument("fit: at least three observations at two different sizes are needed");
}

}  // namespace

Estimate LineFit::at(double size) const {
  const double variance = intercept.standard_error * intercept.standard_error + 2 * size * covariance +
                          size * size * slope.standard_error * slope.standard_error;
  return {intercept.value + slope.value * size, std::sqrt(std::max(variance, 0.0))};
}

double PowerFit::at(double size) const { return factor * std::pow(size, exponent.value); }

LineFit fit_line(const std::vector<Observation>& observations) {
  check_observations(observations);
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
  check_observations(observations);
  Problem<2> problem;
  for (const Observation& observation : observations) {
    if (observation.size <= 0 || observation.value <= 0) return std::nullopt;
    problem.rows.push_back({{1, std::log(observation.size)}, std::log(observation.value), 1});
  }
  const Solution<2> solved = solve(problem);
  return PowerFit{std::exp(solved.parameters[0]), {solved.parameters[1], std::sqrt(solved.covariance[1][1])}};
}

std::optional<Bend> find_bend(const std::vector<Observation>& observations) {
  check_observations(observations);
  const double scale = largest_size(observations);
  const std::size_t count = observations.size();
  const double line_criterion = information_criterion(solve_line(observations, scale).residual, count, 2);
  std::set<double> sizes;
  for (const Observation& observation : observations) sizes.insert(observation.size);
  double best_criterion = std::numeric_limits<double>::infinity();
  Bend bend;
  std::size_t position = 0;
  for (const double size : sizes) {
    position += 1;
    if (position < kMinPointsPerSide || position + kMinPointsPerSide > sizes.size() + 1) continue;
    const Solution<3> solved = solve_segmented(observations, scale, size);
    const double bend_criterion =
        information_criterion(solved.residual, count, 4);  // the position of the bend is a parameter too
    if (bend_criterion >= best_criterion) continue;
    best_criterion = bend_criterion;
    bend = {size, solved.parameters[1] / scale, (solved.parameters[1] + solved.parameters[2]) / scale};
  }
  const double slope_change = std::abs(bend.slope_after - bend.slope_before);
  const bool slope_changes = slope_change > kMinRelativeSlopeChange * std::abs(bend.slope_before);
  if (best_criterion + kMinCriterionGain >= line_criterion || !slope_changes) return std::nullopt;
  return bend;
}

}  // namespace woadtide::lab::scale
