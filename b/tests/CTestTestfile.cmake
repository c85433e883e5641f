# CMake generated Testfile for 
# Source directory: /tmp/b/tests
# Build directory: /tmp/b/b/tests
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
add_test([=[test_arq]=] "/tmp/b/b/tests/test_arq")
set_tests_properties([=[test_arq]=] PROPERTIES  _BACKTRACE_TRIPLES "/tmp/b/tests/CMakeLists.txt;8;add_test;/tmp/b/tests/CMakeLists.txt;0;")
add_test([=[test_fleet]=] "/tmp/b/b/tests/test_fleet")
set_tests_properties([=[test_fleet]=] PROPERTIES  _BACKTRACE_TRIPLES "/tmp/b/tests/CMakeLists.txt;8;add_test;/tmp/b/tests/CMakeLists.txt;0;")
add_test([=[test_gap]=] "/tmp/b/b/tests/test_gap")
set_tests_properties([=[test_gap]=] PROPERTIES  _BACKTRACE_TRIPLES "/tmp/b/tests/CMakeLists.txt;8;add_test;/tmp/b/tests/CMakeLists.txt;0;")
add_test([=[test_http]=] "/tmp/b/b/tests/test_http")
set_tests_properties([=[test_http]=] PROPERTIES  _BACKTRACE_TRIPLES "/tmp/b/tests/CMakeLists.txt;8;add_test;/tmp/b/tests/CMakeLists.txt;0;")
add_test([=[test_load]=] "/tmp/b/b/tests/test_load")
set_tests_properties([=[test_load]=] PROPERTIES  _BACKTRACE_TRIPLES "/tmp/b/tests/CMakeLists.txt;8;add_test;/tmp/b/tests/CMakeLists.txt;0;")
add_test([=[test_pipeline]=] "/tmp/b/b/tests/test_pipeline")
set_tests_properties([=[test_pipeline]=] PROPERTIES  _BACKTRACE_TRIPLES "/tmp/b/tests/CMakeLists.txt;8;add_test;/tmp/b/tests/CMakeLists.txt;0;")
add_test([=[test_policy]=] "/tmp/b/b/tests/test_policy")
set_tests_properties([=[test_policy]=] PROPERTIES  _BACKTRACE_TRIPLES "/tmp/b/tests/CMakeLists.txt;8;add_test;/tmp/b/tests/CMakeLists.txt;0;")
add_test([=[test_troubles]=] "/tmp/b/b/tests/test_troubles")
set_tests_properties([=[test_troubles]=] PROPERTIES  _BACKTRACE_TRIPLES "/tmp/b/tests/CMakeLists.txt;8;add_test;/tmp/b/tests/CMakeLists.txt;0;")
add_test([=[test_upgrade]=] "/tmp/b/b/tests/test_upgrade")
set_tests_properties([=[test_upgrade]=] PROPERTIES  _BACKTRACE_TRIPLES "/tmp/b/tests/CMakeLists.txt;8;add_test;/tmp/b/tests/CMakeLists.txt;0;")
add_test([=[test_world]=] "/tmp/b/b/tests/test_world")
set_tests_properties([=[test_world]=] PROPERTIES  _BACKTRACE_TRIPLES "/tmp/b/tests/CMakeLists.txt;8;add_test;/tmp/b/tests/CMakeLists.txt;0;")
