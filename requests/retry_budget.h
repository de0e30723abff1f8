#pragma once

namespace boragelug
{

/// Retries that one VM may still make for one entry.
struct RetryBudget
{
    /// Starts at one so that the first failure of an idle entry can be retried.
    double tokens = 1.0;
};

/// Retries earned by each first attempt: 10 %, so that a failing service sees at most 1.1 times its load.
inline constexpr double retryTokensPerFirstAttempt = 0.1;
/// Bound of saved-up retries; a larger one lets a long calm period pay for a retry storm.
inline constexpr double maxRetryTokens = 10.0;

/// Earns a tenth of a retry. Thread-safe for distinct budgets.
void recordFirstAttempt(RetryBudget &budget);

/// Takes one retry if there is one. Thread-safe for distinct budgets.
bool tryTakeRetry(RetryBudget &budget);

} // namespace boragelug
