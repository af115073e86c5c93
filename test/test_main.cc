// Runs every registered CppUnit test of one test binary.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TextOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <iostream>
#include <string>

int main(int argc, char** argv) {
  CPPUNIT_NS::TextUi::TestRunner runner;
  CPPUNIT_NS::BriefTestProgressListener progress;
  runner.eventManager().addListener(&progress);
  runner.addTest(CPPUNIT_NS::TestFactoryRegistry::getRegistry().makeTest());
  // One test can be chosen by its name.
  const std::string chosen = argc > 1 ? argv[1] : "";
  return runner.run(chosen, false, true, false) ? 0 : 1;
}
