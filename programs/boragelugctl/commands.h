#pragma once

#include "programs/boragelugctl/options.h"

#include <string>
#include <vector>

namespace boragelug
{

/// Words after the command's name.
using CommandWords = std::vector<std::string>;

/// Each runs one command and returns an exit code of sysexits.h. All throw UsageError.
int runCheck(const CommandWords &words, const CommandStreams &streams);
int runDiff(const CommandWords &words, const CommandStreams &streams);
int runCatalogue(const CommandWords &words, const CommandStreams &streams);
int runTimeline(const CommandWords &words, const CommandStreams &streams);
int runStatus(const CommandWords &words, const CommandStreams &streams);
int runExplain(const CommandWords &words, const CommandStreams &streams);
int runLoad(const CommandWords &words, const CommandStreams &streams);

/// Runs the program with the words after its name.
int runProgram(const CommandWords &words, const CommandStreams &streams);

} // namespace boragelug
