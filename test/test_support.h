// Short names for CppUnit's registration, and messages with context.
#pragma once

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <string>

// Checks a condition; the message, built only on a failure, says what was
// expected and seen.
#define TRAYROCK_CHECK(condition, context)                         \
  do {                                                             \
    const bool holds = (condition);                                \
    if (!holds) {                                                  \
      std::ostringstream message;                                  \
      message << context; /* NOLINT(bugprone-macro-parentheses) */ \
      CPPUNIT_ASSERT_MESSAGE(message.str(), holds);                \
    }                                                              \
  } while (false)
