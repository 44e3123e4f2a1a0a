// main() of all unit tests.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

// The leak detection of CppUTest is off: it reports the static storage of
// libraries as leaks, and it can't handle blocks that were allocated before it
// was switched off.
int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  CommandLineTestRunner runner(argc, argv, TestRegistry::getCurrentRegistry());
  return runner.runAllTestsMain();
}
