#pragma once

#include "core/time_point.h"
#include "programs/boragelugctl/load_result.h"

#include <string>
#include <string_view>

namespace boragelug
{

/// Generates the work of one stream. Runs on one thread.
class LoadGenerator
{
public:
    virtual ~LoadGenerator() = default;

    /// Starts what is due and ends what has run out of time.
    virtual void tick(TimePoint now) = 0;

    /// Whether nothing is left to start or to wait for.
    virtual bool finished() const = 0;

    virtual const StreamResult &result() const = 0;
};

/// A payload of @p size bytes that starts with @p mark, filled up in a way that depends on the mark. Thread-safe.
std::string makePayload(const std::string &mark, std::size_t size);

/// Whether @p answer ends with @p payload and contains @p expect. Thread-safe.
bool isAnswerTo(std::string_view answer, std::string_view payload, std::string_view expect);

} // namespace boragelug
