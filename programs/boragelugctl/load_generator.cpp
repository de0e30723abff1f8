#include "programs/boragelugctl/load_generator.h"

#include "core/hash.h"
#include "core/random.h"

namespace boragelug
{

std::string makePayload(const std::string &mark, std::size_t size)
{
    std::string payload = mark;
    Random random(hashText(mark));
    payload.reserve(size);
    while (payload.size() < size) {
        payload += static_cast<char>('a' + random.below(26));
    }
    return payload;
}

bool isAnswerTo(std::string_view answer, std::string_view payload, std::string_view expect)
{
    return answer.ends_with(payload) && answer.find(expect) != std::string_view::npos;
}

} // namespace boragelug
