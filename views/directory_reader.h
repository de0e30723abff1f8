#pragma once

#include "core/random.h"
#include "model/directory_record.h"
#include "views/directory_mirror.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace boragelug
{

/// Times of a DirectoryReader.
struct ReaderSettings
{
    /// How long a watch may stay unanswered. A connection that went silent is noticed after this and the margin, which
    /// has to be well within the 3 s in which operators expect a change to be in force.
    Duration watchWait = std::chrono::milliseconds(2500);
    /// Time for an answer beyond its wait; a slow directory answers in up to 400 ms.
    Duration answerMargin = std::chrono::milliseconds(800);
    /// Pause before the next watch, in which changes collect, since each call has a price.
    Duration collectTime = std::chrono::milliseconds(500);
    /// Time after an up-to-date answer in which possibly stale ones do: they bring most changes early and cost little,
    /// but a bound can't rest on them.
    Duration staleTime = std::chrono::milliseconds(1500);
    /// Pause after the first failure; doubles with each further one.
    Duration firstRetry = std::chrono::milliseconds(100);
    Duration maxRetry = std::chrono::milliseconds(800);
};

/// What one answer changed.
struct ReaderOutcome
{
    std::vector<MirrorChange> changes;
    /// Why the call brought nothing, and how often in a row that happened.
    std::optional<DirectoryFailure> failure;
    std::uint32_t failures = 0;
    /// The directory was lost with this answer.
    bool lost = false;
    /// The directory answers again with this answer.
    bool regained = false;
};

/**
 * Decides when to list and when to watch the directory, and feeds the answers to a mirror.
 *
 * Keeps at most one call in progress. Does no I/O. Not synchronized: one thread at a time; times must not go back.
 */
class DirectoryReader
{
public:
    /// @p mirror must outlive the reader.
    DirectoryReader(DirectoryMirror &mirror, const ReaderSettings &settings);

    /// The call to start now, if any.
    std::optional<DirectoryCall> nextCall(TimePoint now);

    /// When nextCall() is to be asked again; nothing while a call is in progress.
    std::optional<TimePoint> nextCallAt() const;

    /// Takes the answer to the call in progress; answers to other calls are ignored.
    ReaderOutcome handleAnswer(const DirectoryAnswer &answer, TimePoint now, Random &random);

    /// The process slept: what was read is old, so that the next call is due at once.
    void noteSleep(TimePoint now);

    /// Whether all records were listed once and a catalogue is among them.
    bool isComplete() const { return listed_ && mirror_.hasCatalogue(); }

    /// Whether the last answer is recent enough that what the mirror doesn't hold may be taken as missing.
    bool isFresh(TimePoint now) const;

private:
    DirectoryCall makeList(TimePoint now);
    DirectoryCall makeWatch(TimePoint now);
    void handleFailure(const DirectoryFailure &failure, TimePoint now, Random &random, ReaderOutcome &outcome);
    void handlePage(const DirectoryPage &page, TimePoint now, ReaderOutcome &outcome);
    void noteSuccess(TimePoint now, ReaderOutcome &outcome);

    DirectoryMirror &mirror_;
    ReaderSettings settings_;
    std::optional<DirectoryCall> inProgress_;
    TimePoint startedAt_;
    TimePoint nextAt_;
    std::uint64_t lastId_ = 0;
    bool listed_ = false;
    /// A watch can continue from @c watchFrom_; otherwise records are listed.
    bool canWatch_ = false;
    bool firstPage_ = true;
    std::string afterKey_;
    DirectoryRevision watchFrom_;
    std::uint32_t failures_ = 0;
    bool reachable_ = true;
    std::optional<TimePoint> lastAnswer_;
    /// When the last answer that was certainly up to date came.
    std::optional<TimePoint> confirmedAt_;
};

} // namespace boragelug
