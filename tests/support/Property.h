#pragma once

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sstream>

namespace briarhitch {

/** Checks a rapidcheck property with a fixed seed, so that every run tests the same cases. */
template <class Testable>
void expectProperty(uint64_t seed, int cases, Testable&& property)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = cases;
    // Shrinking sequences of a few hundred draws overflows the stack.
    params.disableShrinking = true;
    const auto result = rc::detail::checkTestable(std::forward<Testable>(property), rc::detail::TestMetadata {}, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << text.str();
}

/** A number in [0, bound) that does not depend on rapidcheck's size. */
inline uint64_t draw(uint64_t bound)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint64_t>(0, bound));
}

}
