#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/TextOutputter.h>
#include <cppunit/TextTestProgressListener.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>

// Runs all registered tests of a test program, or only the test or fixture named on the command line.
int main(int argc, char** argv)
{
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::TextTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    try {
        runner.run(result, argc > 1 ? argv[1] : "");
    } catch (const std::invalid_argument& error) {
        std::cerr << "no test named " << error.what() << "\n";
        return 2;
    }
    CppUnit::TextOutputter(&collector, std::cout).write();

    const int failed = collector.testFailuresTotal();
    std::cout << collector.runTests() - failed << " passed, " << failed << " failed\n";
    return collector.wasSuccessful() ? 0 : 1;
}
