#include "views/directory_reader.h"

#include <algorithm>
#include <utility>

namespace boragelug
{
namespace
{

// A second failure in a row makes an outage: a single one may be a cut connection.
constexpr std::uint32_t failuresOfOutage = 2;

} // namespace

DirectoryReader::DirectoryReader(DirectoryMirror &mirror, const ReaderSettings &settings)
    : mirror_(mirror)
    , settings_(settings)
{ }

std::optional<DirectoryCall> DirectoryReader::nextCall(TimePoint now)
{
    if (inProgress_ || now < nextAt_) {
        return std::nullopt;
    }
    inProgress_ = canWatch_ ? makeWatch(now) : makeList(now);
    return inProgress_;
}

std::optional<TimePoint> DirectoryReader::nextCallAt() const
{
    return inProgress_ ? std::nullopt : std::optional(nextAt_);
}

DirectoryCall DirectoryReader::makeList(TimePoint now)
{
    startedAt_ = now;
    DirectoryCall call;
    call.id = ++lastId_;
    call.kind = DirectoryCall::Kind::List;
    call.afterKey = afterKey_;
    call.timeout = settings_.answerMargin;
    return call;
}

DirectoryCall DirectoryReader::makeWatch(TimePoint now)
{
    startedAt_ = now;
    DirectoryCall call;
    call.id = ++lastId_;
    call.kind = DirectoryCall::Kind::Watch;
    call.after = watchFrom_;
    // A directory that just came back is asked for a short answer first, which tells that it really answers.
    call.wait = reachable_ ? settings_.watchWait : Duration::zero();
    if (reachable_ && confirmedAt_ && now - *confirmedAt_ < settings_.staleTime) {
        call.mayBeStale = true;
        call.wait = settings_.staleTime - (now - *confirmedAt_);
    }
    call.timeout = call.wait + settings_.answerMargin;
    return call;
}

ReaderOutcome DirectoryReader::handleAnswer(const DirectoryAnswer &answer, TimePoint now, Random &random)
{
    ReaderOutcome outcome;
    if (!inProgress_ || inProgress_->id != answer.callId) {
        return outcome;
    }
    const bool mayBeStale = inProgress_->mayBeStale;
    inProgress_.reset();
    if (const auto *failure = std::get_if<DirectoryFailure>(&answer.result)) {
        handleFailure(*failure, now, random, outcome);
        return outcome;
    }
    noteSuccess(now, outcome);
    confirmedAt_ = mayBeStale ? confirmedAt_ : std::optional(now);
    if (const auto *page = std::get_if<DirectoryPage>(&answer.result)) {
        handlePage(*page, now, outcome);
        return outcome;
    }
    const auto &changes = std::get<DirectoryChanges>(answer.result);
    outcome.changes = mirror_.applyChanges(changes, now);
    watchFrom_ = std::max(watchFrom_, changes.asOf);
    nextAt_ = changes.items.empty() ? now : now + settings_.collectTime;
    return outcome;
}

void DirectoryReader::handleFailure(const DirectoryFailure &failure,
                                    TimePoint now,
                                    Random &random,
                                    ReaderOutcome &outcome)
{
    outcome.failure = failure;
    confirmedAt_.reset();
    if (failure.error == DirectoryError::HistoryLost) {
        canWatch_ = false;
        firstPage_ = true;
        afterKey_.clear();
        nextAt_ = now;
        return;
    }
    outcome.failures = ++failures_;
    if (reachable_ && failures_ >= failuresOfOutage) {
        reachable_ = false;
        outcome.lost = true;
    }
    const std::uint32_t doublings = std::min<std::uint32_t>(failures_ - 1, 8);
    const Duration pause = std::min(settings_.firstRetry * (1U << doublings), settings_.maxRetry);
    // Half of the pause is random, so that VMs that failed together don't return together.
    nextAt_ = now + pause / 2
        + std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double, std::nano>(static_cast<double>(pause.count()) * random.unit() / 2));
}

void DirectoryReader::noteSuccess(TimePoint now, ReaderOutcome &outcome)
{
    const bool late = lastAnswer_ && now - startedAt_ > settings_.watchWait + settings_.answerMargin / 2;
    if (failures_ > 0 || late) {
        mirror_.noteOutage(now);
    }
    failures_ = 0;
    outcome.regained = !reachable_;
    reachable_ = true;
    lastAnswer_ = now;
}

void DirectoryReader::handlePage(const DirectoryPage &page, TimePoint now, ReaderOutcome &outcome)
{
    if (firstPage_) {
        mirror_.beginListing();
        // Later pages may show later changes; watching from the first page's revision misses none.
        watchFrom_ = page.asOf;
        firstPage_ = false;
    }
    outcome.changes = mirror_.applyPage(page, now);
    nextAt_ = now;
    if (page.more && !page.lastKey.empty()) {
        afterKey_ = page.lastKey;
        return;
    }
    std::vector<MirrorChange> ended = mirror_.endListing(now);
    outcome.changes.insert(outcome.changes.end(), ended.begin(), ended.end());
    firstPage_ = true;
    afterKey_.clear();
    canWatch_ = true;
    listed_ = true;
}

void DirectoryReader::noteSleep(TimePoint now)
{
    nextAt_ = std::min(nextAt_, now);
    lastAnswer_.reset();
    confirmedAt_.reset();
}

bool DirectoryReader::isFresh(TimePoint now) const
{
    return lastAnswer_ && now - *lastAnswer_ <= settings_.watchWait + settings_.answerMargin;
}

} // namespace boragelug
