// Entry point of every test program. The libraries allocate on first use, so
// the leak check of CppUTest is off; the ASan build checks leaks instead.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
