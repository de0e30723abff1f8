#include "requests/retry_budget.h"

#include <algorithm>

namespace boragelug
{

void recordFirstAttempt(RetryBudget &budget)
{
    budget.tokens = std::min(maxRetryTokens, budget.tokens + retryTokensPerFirstAttempt);
}

bool tryTakeRetry(RetryBudget &budget)
{
    // Tolerance for rounding: ten additions of 0.1 give slightly less than 1 in binary floating point.
    constexpr double oneRetry = 1.0 - 1e-9;
    if (budget.tokens < oneRetry) {
        return false;
    }
    budget.tokens = std::max(0.0, budget.tokens - 1.0);
    return true;
}

} // namespace boragelug
