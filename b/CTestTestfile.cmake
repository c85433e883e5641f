# CMake generated Testfile for 
# Source directory: /tmp/b
# Build directory: /tmp/b/b
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
subdirs("tests")
