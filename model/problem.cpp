#include "model/problem.h"

namespace boragelug
{

std::string toString(const Problem &problem)
{
    std::string text = problem.file;
    if (problem.line > 0) {
        text += ':' + std::to_string(problem.line) + ':' + std::to_string(problem.column);
    }
    if (!text.empty()) {
        text += ": ";
    }
    if (!problem.key.empty()) {
        text += problem.key + ": ";
    }
    return text + problem.message;
}

} // namespace boragelug
