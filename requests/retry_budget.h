#pragma once

namespace boragelug
{

/// Retry budget of one VM for one entry.
struct RetryBudget
{
    /// Starts at one so that the first failure of an idle entry can be retried.
    double tokens = 1.0;
};

/// Tokens added by each first attempt: 10 %, so that retries raise the load of a failing service to at most 1.1 times.
inline constexpr double retryTokensPerFirstAttempt = 0.1;
/// Maximum number of accumulated tokens. A larger value would allow a retry storm after a long period without failures.
inline constexpr double maxRetryTokens = 10.0;

/// Adds the tokens for a first attempt. Thread-safe for distinct budgets.
void recordFirstAttempt(RetryBudget &budget);

/// Consumes the tokens of one retry; false if there are not enough. Thread-safe for distinct budgets.
bool tryTakeRetry(RetryBudget &budget);

} // namespace boragelug
