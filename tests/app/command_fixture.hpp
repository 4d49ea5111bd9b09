#pragma once

#include "app/command_line.hpp"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace acaciaslip::app {

/// Exit code and output of a command.
struct command_result {
    int code = 0; ///< exit code
    std::string output; ///< standard output
    std::string errors; ///< standard error
};

/// Runs a command line in this process.
inline command_result runCommand(std::vector<std::string> words)
{
    words.insert(words.begin(), "acaciaslip");
    std::vector<char*> pointers;
    pointers.reserve(words.size() + 1);
    for (auto& word : words)
        pointers.push_back(word.data());
    pointers.push_back(nullptr);
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    command_result result;
    result.code = runCommandLine(static_cast<int>(words.size()), pointers.data());
    result.output = testing::internal::GetCapturedStdout();
    result.errors = testing::internal::GetCapturedStderr();
    return result;
}

} // namespace acaciaslip::app
